/** Header fields as a flat list of names and values, as received. */
export type RawFields = readonly string[];

/** Fields that apply to a single connection and are not forwarded. */
const hopByHopFields = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Prefix of the fields that only hosts may set. */
const reservedPrefix = 'x-buckthornlug-';

/**
 * Finds the value of a field.
 *
 * @param fields - header fields
 * @param name - name in lower case
 */
export function fieldValue(fields: RawFields, name: string): string | undefined {
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const candidate = fields[index];
    if (candidate?.length === name.length && candidate.toLowerCase() === name) {
      return fields[index + 1];
    }
  }
  return undefined;
}

function connectionOptionsOf(fields: RawFields): readonly string[] {
  const value = fieldValue(fields, 'connection');
  if (value === undefined) return [];
  return value
    .toLowerCase()
    .split(',')
    .map((name) => name.trim());
}

/**
 * Returns the end-to-end fields, without hop-by-hop fields and those that only hosts may set.
 *
 * @param fields - header fields
 */
export function endToEndFields(fields: RawFields): string[] {
  const connectionOptions = connectionOptionsOf(fields);
  const kept: string[] = [];
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index] ?? '';
    const lowerName = name.toLowerCase();
    if (hopByHopFields.has(lowerName)) continue;
    if (lowerName.startsWith(reservedPrefix)) continue;
    if (connectionOptions.includes(lowerName)) continue;
    kept.push(name, fields[index + 1] ?? '');
  }
  return kept;
}

/** Statuses of answers without a body. */
const bodylessStatuses = new Set([204, 304]);

/**
 * Whether an answer states where it ends, so that a truncated answer can be told from a complete one.
 *
 * @param method - method of the request
 * @param status - HTTP status of the answer
 * @param fields - header fields of the answer
 */
export function isSelfDelimited(method: string, status: number, fields: RawFields): boolean {
  if (method === 'HEAD' || bodylessStatuses.has(status)) return true;
  if (fieldValue(fields, 'content-length') !== undefined) return true;
  const coding = fieldValue(fields, 'transfer-encoding');
  return coding !== undefined && coding.toLowerCase().trim().endsWith('chunked');
}
