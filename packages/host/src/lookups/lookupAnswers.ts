import { groupByZone } from '@buckthornlug/core/lists/groupByZone.js';
import { orderHosts } from '@buckthornlug/core/lookups/lookupOrder.js';
import type { LookupReply } from '@buckthornlug/protocol/lookup/lookupSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import type { HostParts } from '../runtime/hostParts.js';
import type { DocumentInForce, HostContext, HostRecord } from '../runtime/hostTypes.js';
import { acceptsNewWork } from '../runtime/acceptsNewWork.js';

/** Largest number of hosts in one answer. */
const maxHosts = 8;

/** An encoded answer, ready to be sent. */
export interface EncodedAnswer {
  /** Header fields, as a flat list of names and values. */
  readonly fields: readonly string[];
  /** Body as a string, so that head and body are sent in one write. */
  readonly body: string;
}

/** Answers look-ups from a cache. */
export interface LookupAnswers {
  /**
   * Answers a look-up with the hosts for a caller.
   *
   * @returns BL2010 before the first document, BL7001 for an unknown service, or BL7003 if no host
   *   takes calls
   */
  readonly answer: (service: string, callerAddress: string) => Result<EncodedAnswer, Failure>;
  /** Drops all cached answers. */
  readonly invalidate: () => void;
}

function encodeAnswer(reply: LookupReply): EncodedAnswer {
  const body = JSON.stringify(reply);
  const fields = [
    'content-type',
    'application/json',
    'content-length',
    String(Buffer.byteLength(body)),
  ];
  return { fields, body };
}

/**
 * Creates the look-up answers of a host. One answer is cached for each pair of zone and service;
 * the cache must be invalidated when the document or the membership changes.
 */
export function createLookupAnswers(context: HostContext, parts: HostParts): LookupAnswers {
  const { settings } = context;
  const answers = new Map<string, Map<string, Result<EncodedAnswer, Failure>>>();

  let groupedHosts: readonly HostRecord[] | undefined;
  let hostsByZone: ReadonlyMap<string, readonly HostRecord[]> = new Map();

  /** Hosts that take calls, by zone; grouped once after each change of the membership. */
  const groupAcceptingHosts = () => {
    const hosts = parts.membership.hosts();
    if (hosts !== groupedHosts) hostsByZone = groupByZone(hosts, acceptsNewWork);
    groupedHosts = hosts;
    return hostsByZone;
  };

  const compute = (
    inForce: DocumentInForce,
    service: string,
    zone: string,
  ): Result<EncodedAnswer, Failure> => {
    const table = parts.table.current();
    const section = table?.services.get(service)?.section;
    if (table === undefined || section === undefined) {
      return err(failure('BL7001', `service "${service}"`));
    }
    const poolOwnerId = parts.poolOwner(zone, service);
    const query = { service, availabilityZone: zone, poolOwnerId };
    const ordered = orderHosts(table.network, groupAcceptingHosts(), query, maxHosts);
    if (ordered.length === 0) return err(failure('BL7003', 'no host takes calls'));
    const hosts = ordered.map((host) => ({
      hostId: host.hostId,
      availabilityZone: host.availabilityZone,
      address: host.callers.address,
      port: host.callers.port,
    }));
    const ttlMs = section.lookupTtlMs;
    return ok(encodeAnswer({ service, documentVersion: inForce.version, ttlMs, hosts }));
  };

  return {
    answer: (service, callerAddress) => {
      const inForce = parts.document.current();
      if (inForce === undefined) return err(failure('BL2010', 'no document is in force'));
      const zone = parts.findCallerZone(callerAddress) ?? settings.availabilityZone;
      let zoneAnswers = answers.get(zone);
      if (zoneAnswers === undefined) {
        zoneAnswers = new Map();
        answers.set(zone, zoneAnswers);
      }
      const cached = zoneAnswers.get(service);
      if (cached !== undefined) return cached;
      const computed = compute(inForce, service, zone);
      if (computed.isOk()) zoneAnswers.set(service, computed);
      return computed;
    },
    invalidate: () => answers.clear(),
  };
}
