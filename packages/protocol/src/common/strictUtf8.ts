/** Text of another writer, which is refused rather than changed where its bytes are no UTF-8. */

const decoder = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true });

/**
 * Decodes UTF-8.
 *
 * @returns the text, with a byte order mark if there is one; throws a `TypeError` for any other bytes
 */
export function decodeStrictUtf8(bytes: Uint8Array): string {
  return decoder.decode(bytes);
}
