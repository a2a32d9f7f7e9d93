/** Objects remembered for each backend server, which itself keeps a few dozen objects warm. */
export const maxWarmObjects = 32;

/** LRU set of the objects that a backend server handled, which are taken to be warm there. */
export class WarmObjects {
  private readonly keys = new Set<string>();

  has(key: string): boolean {
    return this.keys.has(key);
  }

  /** Records that the backend server handles an object. */
  record(key: string): void {
    this.keys.delete(key);
    this.keys.add(key);
    if (this.keys.size <= maxWarmObjects) return;
    const [oldest] = this.keys;
    if (oldest !== undefined) this.keys.delete(oldest);
  }

  clear(): void {
    this.keys.clear();
  }
}
