/** Statuses of HTTP answers (RFC 9110, section 15). */

const minFinalStatus = 200;
const maxStatus = 599;

/**
 * Whether a status ends an exchange. Statuses outside the classes of HTTP say nothing of whether the request ran,
 * and 101 is no answer to a request that asks for no upgrade.
 */
export function isFinalStatus(status: number): boolean {
  return status >= minFinalStatus && status <= maxStatus;
}
