import { timingSafeEqualTexts, computeMac } from '../keys/signature.js';
import { canonicalJson } from './canonicalJson.js';

/** Signatures of operators over plain data: HMAC-SHA256 over its canonical JSON, in base64url. */

/**
 * Signs plain data.
 *
 * @param body - plain data without its signature
 * @param secret - secret of the key that the body names
 */
export function signBody(body: object, secret: string): string {
  return computeMac(secret, canonicalJson(body));
}

/**
 * Compares in a time that does not depend on where the signatures differ.
 *
 * @param body - plain data without its signature
 * @param signature - signature that came with it
 * @param secret - secret of the key that the body names
 */
export function isBodySignedWith(body: object, signature: string, secret: string): boolean {
  return timingSafeEqualTexts(signature, signBody(body, secret));
}
