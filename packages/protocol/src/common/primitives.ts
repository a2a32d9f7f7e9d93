import ipaddr from 'ipaddr.js';
import { z } from 'zod';

/** ID of a host, region, availability zone, service, kind, rank or team. */
export const idSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens, at most 63')
  .describe('Lower-case letters, digits and hyphens, at most 63 characters.');

/** A numeric IP address, not a host name. */
export const ipAddressSchema = z
  .string()
  .refine(
    // The library also accepts old forms of IPv4 addresses, such as a single number.
    (text) => ipaddr.IPv4.isValidFourPartDecimal(text) || ipaddr.IPv6.isValid(text),
    'must be an IP address in numbers',
  )
  .describe('Numeric IPv4 or IPv6 address.');

/** A TCP port. */
export const portSchema = z.int().min(1).max(65535).describe('TCP port.');

/** A block of caller addresses in CIDR notation. */
export const cidrSchema = z
  .string()
  .refine((text) => ipaddr.isValidCIDR(text), 'must be an address block such as 10.1.0.0/16')
  .describe('Address block in CIDR notation, such as 10.1.0.0/16.');

/** A socket address. */
export const endpointSchema = z
  .strictObject({ address: ipAddressSchema, port: portSchema })
  .describe('IP address and TCP port.');

/** A socket address. */
export type Endpoint = z.infer<typeof endpointSchema>;

/** A share in permille (thousandths). */
export const permilleSchema = z.int().min(0).max(1000);

/** Longest time that a timer can be set to. Node.js fires one that is set beyond it after 1 ms. */
export const maxTimerMs = 2 ** 31 - 1;
