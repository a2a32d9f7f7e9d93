/** Loopback addresses of this process; processes that run at the same time do not share any. */

const firstNetwork = 16;
const networks = 200;

/**
 * Gives an address out of the block of this process.
 *
 * @param index - number of the address, from 1 to 254
 */
export function loopbackAddress(index: number): string {
  const { pid } = process;
  return `127.${firstNetwork + ((pid >> 8) % networks)}.${pid % 256}.${index}`;
}
