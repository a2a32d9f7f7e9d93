import { isSignedBy, signText, type SharedKey } from '../keys/signature.js';

/** A signed datagram: the signature, a line end, the content. */

/**
 * Signs the content of a datagram.
 *
 * @param key - signing key
 * @param content - text of the message
 */
export function encodeDatagram(key: SharedKey, content: string): string {
  return `${signText(key, content)}\n${content}`;
}

/**
 * Takes the content out of a datagram.
 *
 * @param keys - valid keys
 * @param datagram - datagram as received
 * @returns the content, or undefined where no valid key signed it
 */
export function decodeDatagram(keys: readonly SharedKey[], datagram: string): string | undefined {
  const end = datagram.indexOf('\n');
  if (end < 0) return undefined;
  const content = datagram.slice(end + 1);
  return isSignedBy(keys, content, datagram.slice(0, end)) ? content : undefined;
}
