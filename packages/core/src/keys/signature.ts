import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

/** A shared secret and the id that signatures refer to it by. */
export interface SharedKey {
  readonly id: string;
  readonly secret: string;
}

const separator = ':';

/** HMAC-SHA256 of a text, in base64url. */
export function computeMac(secret: string, text: string | Uint8Array): string {
  return createHmac('sha256', secret).update(text).digest('base64url');
}

/** Compares two texts in constant time, so that timing does not reveal where they differ. */
export function timingSafeEqualTexts(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.byteLength === rightBytes.byteLength && timingSafeEqual(leftBytes, rightBytes);
}

/**
 * Signs a text with HMAC-SHA256.
 *
 * @returns `<key id>:<HMAC in base64url>`
 */
export function signText(key: SharedKey, text: string | Uint8Array): string {
  return `${key.id}${separator}${computeMac(key.secret, text)}`;
}

/**
 * Checks a signature against the key that it names.
 *
 * @param keys - valid keys; several during a rotation
 * @param text - signed text
 * @param signature - `<key id>:<HMAC in base64url>`
 */
export function isSignedBy(
  keys: readonly SharedKey[],
  text: string | Uint8Array,
  signature: string,
): boolean {
  const end = signature.indexOf(separator);
  if (end < 0) return false;
  const key = keys.find((candidate) => candidate.id === signature.slice(0, end));
  if (key === undefined) return false;
  return timingSafeEqualTexts(signature.slice(end + 1), computeMac(key.secret, text));
}

/**
 * Checks whether a `<key id>:<secret>` field contains one of the valid keys.
 *
 * @param keys - valid keys; several during a rotation
 * @param field - value of the header field
 */
export function isValidKeyField(keys: readonly SharedKey[], field: string): boolean {
  const end = field.indexOf(separator);
  if (end < 0) return false;
  const key = keys.find((candidate) => candidate.id === field.slice(0, end));
  return key !== undefined && timingSafeEqualTexts(field.slice(end + 1), key.secret);
}

/** SHA-256 digest of a body, in base64url. */
export function computeDigest(body: string | Uint8Array): string {
  return createHash('sha256').update(body).digest('base64url');
}
