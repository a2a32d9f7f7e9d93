import type { CallClass } from '@buckthornlug/core/table/tableTypes.js';

import type { Labels } from '../metrics/metrics.js';

/** Labels of the metrics of one call class. */
export interface ClassLabels {
  readonly labels: Labels;
  /** Labels with the result of a call: `answered` or a result code. */
  readonly withResult: (result: string) => Labels;
}

function createLabels({ service, kind, rank }: CallClass): ClassLabels {
  const labels = { service, kind: kind.id, rank: String(rank) };
  const byResult = new Map<string, Labels>();
  return {
    labels,
    withResult: (result) => {
      let known = byResult.get(result);
      if (known === undefined) {
        known = { ...labels, result };
        byResult.set(result, known);
      }
      return known;
    },
  };
}

/** Creates a function that finds the labels of a call class; all calls of a class share the same objects. */
export function createCallLabels(): (callClass: CallClass) => ClassLabels {
  const byClass = new WeakMap<CallClass, ClassLabels>();
  return (callClass) => {
    let known = byClass.get(callClass);
    if (known === undefined) {
      known = createLabels(callClass);
      byClass.set(callClass, known);
    }
    return known;
  };
}
