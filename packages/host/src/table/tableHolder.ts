import { compileTable } from '@buckthornlug/core/table/table.js';
import type { SteeringTable } from '@buckthornlug/core/table/tableTypes.js';

import type { DocumentView } from '../runtime/hostTypes.js';

/** The compiled document in force. */
export interface TableHolder {
  readonly current: () => SteeringTable | undefined;
}

/**
 * Compiles each document that comes in force, with unchanged parts taken from the table before.
 *
 * @param documents - document in force
 */
export function createTableHolder(documents: DocumentView): TableHolder {
  const first = documents.current();
  let table = first === undefined ? undefined : compileTable(first.document);
  documents.onChange((inForce) => {
    table = compileTable(inForce.document, table);
  });
  return { current: () => table };
}
