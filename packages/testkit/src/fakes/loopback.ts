/** Loopback addresses of this process; processes that run at the same time do not share any. */

const firstNetwork = 16;
const networks = 200;
const networkStep = 7919;

/**
 * Chooses a loopback network that no other running process uses.
 *
 * @param processId - identity of the process
 * @param offset - distinguishes several networks of one process
 */
export function loopbackNetwork(processId: number, offset = 0): string {
  const number = processId + offset * networkStep;
  return `127.${firstNetwork + ((number >> 8) % networks)}.${number % 256}`;
}

/**
 * Gives an address out of the network of this process.
 *
 * @param index - number of the address, from 1 to 254
 */
export function loopbackAddress(index: number): string {
  return `${loopbackNetwork(process.pid)}.${index}`;
}
