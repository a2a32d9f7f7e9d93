/** JSON of another writer, parsed within bounds on its nesting. */

/** Nesting of the deepest message, with room for later versions. */
const maxNesting = 32;

/**
 * Whether arrays and objects are nested deeper than a limit. A text of brackets alone takes some
 * twenty times its size in memory once it is parsed.
 */
function isNestedDeeperThan(text: string, limit: number): boolean {
  let depth = 0;
  let isInString = false;
  for (let at = 0; at < text.length; at += 1) {
    const character = text[at];
    if (isInString) {
      if (character === '\\') at += 1;
      else if (character === '"') isInString = false;
    } else if (character === '"') isInString = true;
    else if (character === '[' || character === '{') {
      depth += 1;
      if (depth > limit) return true;
    } else if (character === ']' || character === '}') depth -= 1;
  }
  return false;
}

/**
 * Parses JSON that is not nested too deeply.
 *
 * @returns the value; throws a `SyntaxError` for any other text
 */
export function parseBoundedJson(text: string): unknown {
  if (isNestedDeeperThan(text, maxNesting)) {
    throw new SyntaxError(`nested deeper than ${maxNesting} levels`);
  }
  return JSON.parse(text);
}
