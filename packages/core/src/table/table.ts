import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import { compileClientBlocks, zoneOfCaller } from './clientBlockTable.js';
import { compileNetwork } from './networkEntry.js';
import { compileService, compileTraffic } from './serviceEntry.js';
import type { CallClass, ServiceEntry, SteeringTable, TrafficPlan } from './tableTypes.js';

function compileServices(
  document: SteeringDocument,
  previous: SteeringTable | undefined,
): Map<string, ServiceEntry> {
  const sameRanks = previous?.document.ranks === document.ranks;
  const services = new Map<string, ServiceEntry>();
  for (const [service, section] of Object.entries(document.services)) {
    const known = sameRanks ? previous.services.get(service) : undefined;
    const reusable = known?.section === section;
    services.set(service, reusable ? known : compileService(service, section, document.ranks));
  }
  return services;
}

function compileTrafficPlans(
  document: SteeringDocument,
  previous: SteeringTable | undefined,
): Map<string, TrafficPlan> {
  const plans = new Map<string, TrafficPlan>();
  for (const [service, section] of Object.entries(document.traffic)) {
    const known = previous?.traffic.get(service);
    plans.set(service, known?.section === section ? known : compileTraffic(section));
  }
  return plans;
}

function indexHostNames(services: ReadonlyMap<string, ServiceEntry>): Map<string, ServiceEntry> {
  const byHostName = new Map<string, ServiceEntry>();
  for (const entry of services.values()) {
    for (const name of entry.section.hostNames) byHostName.set(name.toLowerCase(), entry);
  }
  return byHostName;
}

/**
 * Compiles a document. Parts whose sections are the same objects as in the previous table are taken
 * from it.
 *
 * @param document - checked document
 * @param previous - table that parts are taken from
 */
export function compileTable(document: SteeringDocument, previous?: SteeringTable): SteeringTable {
  const sameNetwork = previous?.document.network === document.network;
  const network = sameNetwork ? previous.network : compileNetwork(document.network);
  const services = compileServices(document, previous);
  return {
    document,
    services,
    servicesByHostName: indexHostNames(services),
    traffic: compileTrafficPlans(document, previous),
    network,
    clientBlocks: compileClientBlocks(
      document.clientBlocks,
      network.zoneNames,
      previous?.clientBlocks,
    ),
  };
}

/** Takes the port off the value of a Host header. */
function withoutPort(hostHeader: string): string {
  if (hostHeader.startsWith('[')) return hostHeader.slice(0, hostHeader.indexOf(']') + 1);
  const colon = hostHeader.indexOf(':');
  return colon < 0 ? hostHeader : hostHeader.slice(0, colon);
}

/**
 * Classifies a call by the document.
 *
 * @param table - compiled document
 * @param hostHeader - value of the Host header, with or without a port
 * @param method - HTTP method in upper case
 * @param path - path of the request without its query
 * @returns the class of the call, or undefined where no service or kind matches
 */
export function classifyCall(
  table: SteeringTable,
  hostHeader: string,
  method: string,
  path: string,
): CallClass | undefined {
  const entry = table.servicesByHostName.get(withoutPort(hostHeader).toLowerCase());
  if (entry === undefined) return undefined;
  for (const rule of entry.rules) {
    if (rule.methods.size > 0 && !rule.methods.has(method)) continue;
    if (path.startsWith(rule.pathPrefix)) return rule.callClass;
  }
  return undefined;
}

/**
 * Finds the availability zone nearest to a caller.
 *
 * @param table - compiled document
 * @param address - IP address of the caller in numbers
 */
export function callerZone(table: SteeringTable, address: string): string | undefined {
  return zoneOfCaller(table.clientBlocks, address);
}
