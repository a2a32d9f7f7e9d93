import { isSignedBy, signText, type SharedKey } from '../keys/signature.js';

/** A signed datagram consists of the signature, a line feed and the content. */

/** Encodes and signs a datagram. */
export function encodeDatagram(key: SharedKey, content: string): string {
  return `${signText(key, content)}\n${content}`;
}

/**
 * Verifies a datagram and extracts its content.
 *
 * @param keys - accepted keys
 * @returns the content, or undefined if none of the keys signed it
 */
export function decodeDatagram(keys: readonly SharedKey[], datagram: string): string | undefined {
  const end = datagram.indexOf('\n');
  if (end < 0) return undefined;
  const content = datagram.slice(end + 1);
  return isSignedBy(keys, content, datagram.slice(0, end)) ? content : undefined;
}
