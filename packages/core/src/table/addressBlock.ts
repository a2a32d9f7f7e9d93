import ipaddr from 'ipaddr.js';

/** An IPv4 block: its first address as an unsigned number, and the length of its prefix. */
export interface Ipv4Block {
  readonly start: number;
  readonly prefixLength: number;
}

const dotCode = 46;
const zeroCode = 48;

/**
 * Parses an IPv4 address in dotted decimal form.
 *
 * @param text - text that begins with the address
 * @param end - position after the last character of the address
 * @returns the address as an unsigned number, or -1 if the text is not such an address
 */
export function parseIpv4(text: string, end = text.length): number {
  let address = 0;
  let octet = -1;
  let octetCount = 0;
  for (let index = 0; index < end; index += 1) {
    const code = text.charCodeAt(index);
    if (code === dotCode) {
      if (octet < 0 || octetCount === 3) return -1;
      address = address * 256 + octet;
      octetCount += 1;
      octet = -1;
      continue;
    }
    const digit = code - zeroCode;
    if (digit < 0 || digit > 9) return -1;
    octet = octet < 0 ? digit : octet * 10 + digit;
    if (octet > 255) return -1;
  }
  if (octet < 0 || octetCount !== 3) return -1;
  return address * 256 + octet;
}

/**
 * Parses an IPv4 block such as `10.1.0.0/16`; bits beyond the prefix are cleared.
 *
 * @returns the block, or undefined if the text is not an IPv4 block
 */
export function parseIpv4Block(text: string): Ipv4Block | undefined {
  const slash = text.indexOf('/');
  if (slash < 0) return undefined;
  const address = parseIpv4(text, slash);
  const prefixLength = Number(text.slice(slash + 1));
  if (address < 0 || !Number.isInteger(prefixLength) || prefixLength > 32) return undefined;
  const span = 2 ** (32 - prefixLength);
  return { start: Math.floor(address / span) * span, prefixLength };
}

/** The first `prefixLength` bits of an IPv6 address, as a text that serves as a map key. */
export function ipv6Prefix(bytes: readonly number[], prefixLength: number): string {
  const wholeBytes = prefixLength >> 3;
  const restBits = prefixLength & 7;
  let key = '';
  for (let index = 0; index < wholeBytes; index += 1) key += String.fromCharCode(bytes[index] ?? 0);
  if (restBits > 0)
    key += String.fromCharCode((bytes[wholeBytes] ?? 0) & (0xff00 >> restBits) & 0xff);
  return key;
}

/** A parsed address of a caller. */
export type CallerAddress =
  | { readonly family: 'ipv4'; readonly address: number }
  | { readonly family: 'ipv6'; readonly bytes: readonly number[] };

/**
 * Parses the address of a caller. An IPv4-mapped IPv6 address counts as IPv4.
 *
 * @param text - numeric IP address
 * @returns the address, or undefined if the text is not an IP address
 */
export function parseCallerAddress(text: string): CallerAddress | undefined {
  const address = parseIpv4(text);
  if (address >= 0) return { family: 'ipv4', address };
  if (!ipaddr.IPv6.isValid(text)) return undefined;
  const parsed = ipaddr.IPv6.parse(text);
  const bytes = parsed.toByteArray();
  if (!parsed.isIPv4MappedAddress()) return { family: 'ipv6', bytes };
  const [a = 0, b = 0, c = 0, d = 0] = bytes.slice(12);
  return { family: 'ipv4', address: ((a * 256 + b) * 256 + c) * 256 + d };
}
