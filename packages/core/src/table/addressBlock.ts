import ipaddr from 'ipaddr.js';

/** An IPv4 block: first address as an unsigned number and length of the prefix. */
export interface Ipv4Block {
  readonly start: number;
  readonly prefixLength: number;
}

const dotCode = 46;
const zeroCode = 48;

/**
 * Reads an IPv4 address in dotted decimal form.
 *
 * @param text - address
 * @param end - position after the last character of the address
 * @returns the address as an unsigned number, or -1 where the text is no such address
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
 * Reads an IPv4 block such as `10.1.0.0/16`; bits beyond the prefix are cleared.
 *
 * @param text - block
 * @returns the block, or undefined where the text is no IPv4 block
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

/** The first bits of an IPv6 address as a comparable text. */
export function ipv6Prefix(bytes: readonly number[], prefixLength: number): string {
  const wholeBytes = prefixLength >> 3;
  const restBits = prefixLength & 7;
  let key = '';
  for (let index = 0; index < wholeBytes; index += 1) key += String.fromCharCode(bytes[index] ?? 0);
  if (restBits > 0)
    key += String.fromCharCode((bytes[wholeBytes] ?? 0) & (0xff00 >> restBits) & 0xff);
  return key;
}

/** An address of a caller, in the form in which tables look it up. */
export type CallerAddress =
  | { readonly family: 'ipv4'; readonly address: number }
  | { readonly family: 'ipv6'; readonly bytes: readonly number[] };

/**
 * Reads an address of a caller. IPv4 addresses inside IPv6 count as IPv4.
 *
 * @param text - IP address in numbers
 * @returns the address, or undefined where the text is none
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
