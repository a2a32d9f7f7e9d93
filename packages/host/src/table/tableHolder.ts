import { compileTable } from '@buckthornlug/core/table/table.js';
import type { SteeringTable } from '@buckthornlug/core/table/tableTypes.js';

import type { Clock, DocumentInForce, DocumentView } from '../runtime/hostTypes.js';

/** Holder of the table compiled from the document in force. */
export interface TableHolder {
  readonly current: () => SteeringTable | undefined;
}

/**
 * Compiles each document that comes into force; unchanged parts are reused from the previous table.
 *
 * @param onCompiled - called with the duration of each compilation, in milliseconds
 */
export function createTableHolder(
  documents: DocumentView,
  clock: Pick<Clock, 'nowMs'>,
  onCompiled: (elapsedMs: number) => void,
): TableHolder {
  let table: SteeringTable | undefined;
  const compile = ({ document }: DocumentInForce) => {
    const startedAtMs = clock.nowMs();
    table = compileTable(document, table);
    onCompiled(clock.nowMs() - startedAtMs);
  };
  const first = documents.current();
  if (first !== undefined) compile(first);
  documents.onChange(compile);
  return { current: () => table };
}
