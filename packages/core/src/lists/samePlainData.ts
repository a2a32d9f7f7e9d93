/** Whether two values of plain data (scalars, arrays, objects) are the same, whatever the order of their fields. */
export function samePlainData(left: unknown, right: unknown): boolean {
  if (Object.is(left, right)) return true;
  if (typeof left !== 'object' || typeof right !== 'object') return false;
  if (left === null || right === null || Array.isArray(left) !== Array.isArray(right)) return false;
  const leftFields = left as Record<string, unknown>;
  const rightFields = right as Record<string, unknown>;
  const names = Object.keys(leftFields);
  if (names.length !== Object.keys(rightFields).length) return false;
  for (const name of names) {
    if (!Object.hasOwn(rightFields, name)) return false;
    if (!samePlainData(leftFields[name], rightFields[name])) return false;
  }
  return true;
}
