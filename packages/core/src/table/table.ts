import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import { compileClientBlocks, findZoneOfAddress } from './clientBlockTable.js';
import { compileNetwork } from './compileNetwork.js';
import { compileService, compileTraffic } from './compileSections.js';
import type { CallClass, CompiledService, SteeringTable, CompiledTraffic } from './tableTypes.js';

function compileServices(
  document: SteeringDocument,
  previous: SteeringTable | undefined,
): Map<string, CompiledService> {
  const hasSameRanks = previous?.document.ranks === document.ranks;
  const services = new Map<string, CompiledService>();
  for (const [service, section] of Object.entries(document.services)) {
    const known = hasSameRanks ? previous.services.get(service) : undefined;
    const isReusable = known?.section === section;
    services.set(service, isReusable ? known : compileService(service, section, document.ranks));
  }
  return services;
}

function compileTrafficSections(
  document: SteeringDocument,
  previous: SteeringTable | undefined,
): Map<string, CompiledTraffic> {
  const compiled = new Map<string, CompiledTraffic>();
  for (const [service, section] of Object.entries(document.traffic)) {
    const known = previous?.traffic.get(service);
    compiled.set(service, known?.section === section ? known : compileTraffic(section));
  }
  return compiled;
}

function indexHostNames(
  services: ReadonlyMap<string, CompiledService>,
): Map<string, CompiledService> {
  const byHostName = new Map<string, CompiledService>();
  for (const entry of services.values()) {
    for (const name of entry.section.hostNames) byHostName.set(name.toLowerCase(), entry);
  }
  return byHostName;
}

/**
 * Compiles a document. Compiled sections are reused from the previous table if their sections are the
 * same objects.
 *
 * @param document - checked document
 * @param previous - table from which compiled sections are reused
 */
export function compileTable(document: SteeringDocument, previous?: SteeringTable): SteeringTable {
  const hasSameNetwork = previous?.document.network === document.network;
  const network = hasSameNetwork ? previous.network : compileNetwork(document.network);
  const services = compileServices(document, previous);
  return {
    document,
    services,
    servicesByHostName: indexHostNames(services),
    traffic: compileTrafficSections(document, previous),
    network,
    clientBlocks: compileClientBlocks(
      document.clientBlocks,
      network.zoneNames,
      previous?.clientBlocks,
    ),
  };
}

/** Removes the port from the value of a Host header. */
function stripPort(hostHeader: string): string {
  if (hostHeader.startsWith('[')) return hostHeader.slice(0, hostHeader.indexOf(']') + 1);
  const colon = hostHeader.indexOf(':');
  return colon < 0 ? hostHeader : hostHeader.slice(0, colon);
}

/**
 * Classifies a call: finds its service and the first kind whose conditions it meets.
 *
 * @param table - compiled document
 * @param hostHeader - value of the Host header, with or without a port
 * @param method - HTTP method in upper case
 * @param path - path of the request without its query
 * @returns the class of the call, or undefined if no service or kind matches
 */
export function classifyCall(
  table: SteeringTable,
  hostHeader: string,
  method: string,
  path: string,
): CallClass | undefined {
  const entry = table.servicesByHostName.get(stripPort(hostHeader).toLowerCase());
  if (entry === undefined) return undefined;
  for (const rule of entry.rules) {
    if (rule.methods.size > 0 && !rule.methods.has(method)) continue;
    if (path.startsWith(rule.pathPrefix)) return rule.callClass;
  }
  return undefined;
}

/**
 * Finds the availability zone that the client blocks assign to a caller.
 *
 * @param table - compiled document
 * @param address - numeric IP address of the caller
 * @returns the availability zone, or undefined if no block contains the address
 */
export function findCallerZone(table: SteeringTable, address: string): string | undefined {
  return findZoneOfAddress(table.clientBlocks, address);
}
