/** Objects remembered for one backend server; one keeps a few dozen itself. */
export const maxWarmObjects = 32;

/** The objects that a backend server handled last. */
export class WarmObjects {
  private readonly keys = new Set<string>();

  has(key: string): boolean {
    return this.keys.has(key);
  }

  /** Takes note that an object was handled. */
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
