import { Encoder } from 'cbor-x';

/** Binary encoding of commands, messages and files: CBOR with plain maps and byte strings. */

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Encodes plain data as CBOR. */
export function encodeBinary(value: unknown): Uint8Array {
  return codec.encode(value);
}

/** Decodes CBOR; throws if the bytes are invalid. */
export function decodeBinary(bytes: Uint8Array): unknown {
  return codec.decode(bytes);
}

/** Encodes plain data as CBOR in base64, for a JSON field. */
export function encodeBase64(value: unknown): string {
  return Buffer.from(encodeBinary(value)).toString('base64');
}

/** Decodes the result of `encodeBase64`. */
export function decodeBase64(text: string): unknown {
  return decodeBinary(Buffer.from(text, 'base64'));
}
