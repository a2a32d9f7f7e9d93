import { Encoder } from 'cbor-x';

/** The binary encoding of commands, messages and files: CBOR with plain maps and byte strings. */

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/**
 * Encodes plain data.
 *
 * @param value - plain data
 */
export function encodeBinary(value: unknown): Uint8Array {
  return codec.encode(value);
}

/**
 * Decodes plain data; throws where the bytes are no CBOR.
 *
 * @param bytes - encoded data
 */
export function decodeBinary(bytes: Uint8Array): unknown {
  return codec.decode(bytes);
}

/**
 * Encodes plain data for a JSON field.
 *
 * @param value - plain data
 */
export function encodeBase64(value: unknown): string {
  return Buffer.from(encodeBinary(value)).toString('base64');
}

/**
 * Decodes a JSON field.
 *
 * @param text - result of `encodeText`
 */
export function decodeBase64(text: string): unknown {
  return decodeBinary(Buffer.from(text, 'base64'));
}
