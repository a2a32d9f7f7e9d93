import { maxTimerMs } from '@buckthornlug/protocol/common/primitives.js';
import type {
  Kind,
  Ranks,
  Service,
  Traffic,
} from '@buckthornlug/protocol/document/documentTypes.js';

import type { CallClass, KindRule, CompiledService, CompiledTraffic } from './tableTypes.js';

const fullSharePermille = 1000;

function compileKind(service: string, kind: Kind, ranks: Ranks): KindRule {
  const rank = ranks.findIndex((candidate) => candidate.id === kind.rank);
  const timeLimitMs = Math.min(kind.timeLimitMs, maxTimerMs);
  const callClass: CallClass = {
    service,
    kind,
    rank,
    execution: kind.execution,
    targetMs: Math.min(kind.targetMs ?? ranks[rank]?.targetMs ?? timeLimitMs, maxTimerMs),
    timeLimitMs,
  };
  return {
    methods: new Set(kind.match.methods),
    pathPrefix: kind.match.pathPrefix,
    callClass,
  };
}

/**
 * Compiles a section `services/<id>`.
 *
 * @param service - name of the service
 * @param section - section of a checked document
 * @param ranks - ranks of the document
 */
export function compileService(service: string, section: Service, ranks: Ranks): CompiledService {
  const rules = section.kinds.map((kind) => compileKind(service, kind, ranks));
  return { service, section, rules };
}

/**
 * Compiles a section `traffic/<service>`.
 *
 * @param section - section of a checked document
 */
export function compileTraffic(section: Traffic): CompiledTraffic {
  const drainedRegions = new Set(section.drainedRegions);
  const drainedZones = new Set(section.drainedZones);
  return {
    section,
    drainedRegions,
    drainedZones,
    keptPermille: (region) => {
      if (drainedRegions.has(region)) return 0;
      return section.weights[region] ?? fullSharePermille;
    },
    acceptsCalls: (region, availabilityZone) =>
      !drainedRegions.has(region) && !drainedZones.has(availabilityZone),
  };
}
