import { timingSafeEqualTexts, computeMac } from '../keys/signature.js';
import { canonicalJson } from './canonicalJson.js';

/** Signatures of operators over plain data: HMAC-SHA256 over its canonical JSON, in base64url. */

/**
 * Computes the signature of plain data.
 *
 * @param secret - secret of the key that the body names
 */
export function signBody(body: object, secret: string): string {
  return computeMac(secret, canonicalJson(body));
}

/**
 * Checks the signature of plain data. The duration does not depend on where the signatures
 * differ.
 *
 * @param secret - secret of the key that the body names
 */
export function isBodySignedWith(body: object, signature: string, secret: string): boolean {
  return timingSafeEqualTexts(signature, signBody(body, secret));
}
