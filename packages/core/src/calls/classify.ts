import type {
  Kind,
  Service,
  SteeringDocument,
} from '@buckthornlug/protocol/document/documentTypes.js';

/** What a call is, by the document. */
export interface Classification {
  readonly serviceId: string;
  readonly service: Service;
  readonly kind: Kind;
  /** Index into the ranks of the document. */
  readonly rank: number;
  /** Time in which the call should be answered. */
  readonly targetMs: number;
}

/** The parts of a request that classify it. */
export interface CallHead {
  readonly method: string;
  /** Path without query. */
  readonly path: string;
  /** Value of the Host header, with or without port. */
  readonly hostName: string;
}

/** Finds the service and the kind of a call; undefined where none matches. */
export type Classify = (head: CallHead) => Classification | undefined;

function withoutPort(hostName: string): string {
  const colon = hostName.lastIndexOf(':');
  if (colon < 0 || hostName.endsWith(']')) return hostName;
  return hostName.slice(0, colon);
}

function matches(kind: Kind, head: CallHead): boolean {
  const { methods, pathPrefix } = kind.match;
  if (methods.length > 0 && !methods.includes(head.method)) return false;
  return head.path.startsWith(pathPrefix);
}

/**
 * Compiles the classification of a document.
 *
 * @param document - document in force
 */
export function createClassifier(document: SteeringDocument): Classify {
  const candidates = new Map<string, Classification[]>();
  const rankIds = document.ranks.map((rank) => rank.id);
  for (const [serviceId, service] of Object.entries(document.services)) {
    const kinds = service.kinds.map((kind): Classification => {
      const rank = rankIds.indexOf(kind.rank);
      const targetMs = kind.targetMs ?? document.ranks[rank]?.targetMs ?? kind.timeLimitMs;
      return { serviceId, service, kind, rank, targetMs };
    });
    for (const hostName of service.hostNames) candidates.set(hostName.toLowerCase(), kinds);
  }
  return (head) => {
    const hostName = head.hostName.toLowerCase();
    const kinds = candidates.get(hostName) ?? candidates.get(withoutPort(hostName));
    return kinds?.find((candidate) => matches(candidate.kind, head));
  };
}

/**
 * Finds a kind by its identity.
 *
 * @param document - document in force
 * @param serviceId - identity of the service
 * @param kindId - identity of the kind
 */
export function findKind(
  document: SteeringDocument,
  serviceId: string,
  kindId: string,
): Classification | undefined {
  const service = document.services[serviceId];
  const kind = service?.kinds.find((candidate) => candidate.id === kindId);
  if (service === undefined || kind === undefined) return undefined;
  const rank = document.ranks.findIndex((candidate) => candidate.id === kind.rank);
  const targetMs = kind.targetMs ?? document.ranks[rank]?.targetMs ?? kind.timeLimitMs;
  return { serviceId, service, kind, rank, targetMs };
}
