import type {
  Kind,
  Service,
  SteeringDocument,
} from '@buckthornlug/protocol/document/documentTypes.js';
import type { Fault } from '@buckthornlug/protocol/results/failure.js';

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
  const leftSet = new Set(left);
  const rightSet = new Set(right);
  return leftSet.size === rightSet.size && [...leftSet].every((each) => rightSet.has(each));
}

function canMatchSameCall(left: Kind, right: Kind): boolean {
  const leftPath = left.match.pathPrefix;
  const rightPath = right.match.pathPrefix;
  if (!leftPath.startsWith(rightPath) && !rightPath.startsWith(leftPath)) return false;
  if (left.match.methods.length === 0 || right.match.methods.length === 0) return true;
  return left.match.methods.some((method) => right.match.methods.includes(method));
}

function isSameMatch(left: Kind, right: Kind): boolean {
  if (left.match.pathPrefix !== right.match.pathPrefix) return false;
  return isSameSet(left.match.methods, right.match.methods);
}

/** Finds the changes of a once-only kind that would move its identities or stop recording them. */
function findChangedKindFaults(before: Kind, after: Kind, path: string): Fault[] {
  const faults: Fault[] = [];
  if (after.execution !== 'once') {
    faults.push({ path: `${path}/execution`, problem: `must stay "once"` });
  }
  if (after.identity?.header !== before.identity?.header) {
    const problem = `must stay "${before.identity?.header ?? ''}"`;
    faults.push({ path: `${path}/identity/header`, problem });
  }
  if (!isSameSet(before.ledgerGroups, after.ledgerGroups)) {
    const problem = `must stay ${before.ledgerGroups.join(', ')}`;
    faults.push({ path: `${path}/ledgerGroups`, problem });
  }
  if (!isSameMatch(before, after)) {
    faults.push({ path: `${path}/match`, problem: 'must stay as it is for once-only work' });
  }
  return faults;
}

/** Finds kinds newly placed before a once-only kind that would match some of its calls. */
function findShadowingFaults(kind: Kind, before: Service, after: Service, path: string): Fault[] {
  const formerEarlierKinds = before.kinds.slice(
    0,
    before.kinds.findIndex((each) => each.id === kind.id),
  );
  const faults: Fault[] = [];
  for (const [index, earlier] of after.kinds.entries()) {
    if (earlier.id === kind.id) break;
    const wasEarlierBefore = formerEarlierKinds.some(
      (each) => each.id === earlier.id && isSameMatch(each, earlier),
    );
    if (wasEarlierBefore || !canMatchSameCall(earlier, kind)) continue;
    const problem = `would take calls of the once-only kind "${kind.id}"`;
    faults.push({ path: `${path}/kinds/${index}/match`, problem });
  }
  return faults;
}

/**
 * Finds the changes of a service that would move identities of its once-only kinds.
 *
 * @returns each fault with its path, for BL2011
 */
export function findServiceMoveFaults(serviceId: string, before: Service, after: Service): Fault[] {
  const path = `services/${serviceId}`;
  const faults: Fault[] = [];
  for (const kind of before.kinds) {
    if (kind.execution !== 'once') continue;
    const index = after.kinds.findIndex((each) => each.id === kind.id);
    const kindAfter = after.kinds[index];
    if (kindAfter === undefined) {
      const problem = `the once-only kind "${kind.id}" must stay`;
      faults.push({ path: `${path}/kinds`, problem });
      continue;
    }
    faults.push(...findChangedKindFaults(kind, kindAfter, `${path}/kinds/${index}`));
    faults.push(...findShadowingFaults(kind, before, after, path));
  }
  return faults;
}

/**
 * Finds host names of a service with once-only kinds that would move to another service.
 *
 * @param changed - services that the change adds or replaces, by id
 */
function findMovedHostNameFaults(
  serviceId: string,
  before: Service,
  changed: readonly (readonly [string, Service])[],
): Fault[] {
  if (!before.kinds.some((kind) => kind.execution === 'once')) return [];
  const faults: Fault[] = [];
  for (const [otherId, other] of changed) {
    if (otherId === serviceId) continue;
    for (const [index, name] of other.hostNames.entries()) {
      if (!before.hostNames.includes(name)) continue;
      const path = `services/${otherId}/hostNames/${index}`;
      faults.push({ path, problem: `"${name}" must stay with "${serviceId}"` });
    }
  }
  return faults;
}

/**
 * Finds the changes of a document that would look up identities of once-only work in another ledger
 * group or under another key, so that a resend could run the work again.
 *
 * @param before - document in force
 * @param after - document submitted
 * @returns each fault with its path, for BL2011
 */
export function findLedgerMoveFaults(before: SteeringDocument, after: SteeringDocument): Fault[] {
  const faults: Fault[] = [];
  if (before.services === after.services) return faults;
  const changed = Object.entries(after.services).filter(
    ([serviceId, service]) => before.services[serviceId] !== service,
  );
  if (changed.length === 0) return faults;
  for (const [serviceId, service] of Object.entries(before.services)) {
    const serviceAfter = after.services[serviceId];
    if (serviceAfter !== undefined && serviceAfter !== service) {
      faults.push(...findServiceMoveFaults(serviceId, service, serviceAfter));
    }
    faults.push(...findMovedHostNameFaults(serviceId, service, changed));
  }
  return faults;
}
