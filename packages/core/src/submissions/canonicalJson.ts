/** Canonical JSON: equal values give the same text, as signatures and digests require. */

function sortMembers(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortMembers);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value).filter(([, field]) => field !== undefined);
  entries.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries.map(([name, field]) => [name, sortMembers(field)]));
}

/** Encodes plain data with sorted keys and without whitespace; undefined fields are omitted. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(sortMembers(value));
}
