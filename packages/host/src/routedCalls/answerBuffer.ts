/** Collects a body that may arrive in very small parts. */

/**
 * Parts that are joined into one block. Each part is an object of some hundred bytes and keeps the
 * whole read buffer alive that it came in.
 */
const partsPerBlock = 64;

/** Bytes received so far. */
export class AnswerBuffer {
  private readonly blocks: Buffer[] = [];

  private parts: Buffer[] = [];

  private receivedBytes = 0;

  get length(): number {
    return this.receivedBytes;
  }

  add(part: Buffer): void {
    this.parts.push(part);
    this.receivedBytes += part.length;
    if (this.parts.length < partsPerBlock) return;
    this.blocks.push(Buffer.concat(this.parts));
    this.parts = [];
  }

  toBuffer(): Buffer {
    return Buffer.concat([...this.blocks, ...this.parts]);
  }
}
