import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';

import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { ExecutionContext } from 'ava';

import { loopbackNetwork } from '../fakes/loopback.js';
import { startRelays, stopRelays, throughRelays, type HostRelays } from '../fakes/hostRelays.js';
import {
  blocksSubmission,
  createControlFleet,
  exampleDocument,
  firstSubmission,
  type ControlFleet,
} from './controlFleet.js';

/** A fleet of host processes under faults, and what its operators were told. */

const timing = { electionTimeoutMs: 400, heartbeatMs: 60 };
/** Members of the control group at its start. */
export const members = ['lagos-a-1', 'lagos-b-1', 'abuja-a-1'];
/** Host that is no member. */
export const outsider = 'abuja-b-1';
const waitLimitMs = 15_000;

/** A fleet with a document in it, and what its operators were told. */
export interface Trial {
  readonly fleet: ControlFleet;
  readonly relays: HostRelays;
  readonly document: SteeringDocument;
  readonly workFolder: string;
  /** Accepted version by the section that the submission added. */
  readonly accepted: Map<string, number>;
}

/**
 * Starts the fleet and submits the first document.
 *
 * @param t - test that ends the fleet
 * @param offset - number of the loopback network
 * @param isRelayed - whether all traffic between hosts goes through relays
 */
export async function startTrial(
  t: ExecutionContext,
  offset: number,
  isRelayed = false,
): Promise<Trial> {
  const workFolder = await mkdtemp(`${tmpdir()}/bl-control-`);
  const network = loopbackNetwork(process.pid, offset);
  const fleet = createControlFleet(network, workFolder, timing, (settings) =>
    isRelayed ? throughRelays(settings, network) : settings,
  );
  const relays: HostRelays = isRelayed
    ? await startRelays(fleet.allSettings(), network)
    : new Map();
  t.teardown(async () => {
    await fleet.kill();
    await stopRelays(relays);
    await rm(workFolder, { recursive: true });
  });
  await fleet.start();
  const document = await exampleDocument();
  const { status, body } = await fleet.ask(outsider, '/v1/submissions', firstSubmission(document));
  t.is(status, 200, JSON.stringify(body));
  return { fleet, relays, document, workFolder, accepted: new Map() };
}

/** Submits a new section, and again until the outcome is known. */
export async function submitSection(trial: Trial, group: string, via = outsider): Promise<number> {
  const submission = blocksSubmission(trial.document, `submission-${group}`, 0, group);
  const untilMs = performance.now() + waitLimitMs;
  while (performance.now() < untilMs) {
    const { status, body } = await trial.fleet.ask(via, '/v1/submissions', submission);
    if (status === 200) {
      const { version } = body as { version: number };
      trial.accepted.set(`clientBlocks/${group}`, version);
      return version;
    }
  }
  throw new Error(`submission "${group}" was not accepted in time`);
}

/** Section versions as a host reads them. */
async function sectionVersions(trial: Trial, via: string): Promise<Record<string, number>> {
  const untilMs = performance.now() + waitLimitMs;
  let answer = await trial.fleet.ask(via, '/v1/document');
  while (answer.status !== 200 && performance.now() < untilMs) {
    answer = await trial.fleet.ask(via, '/v1/document');
  }
  return (answer.body as { base: { sections: Record<string, number> } }).base.sections;
}

/** Checks on some hosts that each accepted section stands at the version that was accepted. */
export async function assertKept(t: ExecutionContext, trial: Trial, hostIds: readonly string[]) {
  for (const hostId of hostIds) {
    const versions = await sectionVersions(trial, hostId);
    for (const [name, version] of trial.accepted)
      t.is(versions[name], version, `${hostId} ${name}`);
  }
}

/** One replica of `GET /v1/groups`. */
export interface ReplicaView {
  readonly hostId: string;
  readonly replicaId: string;
  readonly role: string;
}

/** Replica of a host, where the group has one. */
export async function replicaOf(trial: Trial, hostId: string): Promise<ReplicaView | undefined> {
  const { body } = await trial.fleet.ask(outsider, '/v1/groups');
  const [group] = (body as { groups: { replicas?: ReplicaView[] }[] }).groups;
  return group?.replicas?.find((one) => one.hostId === hostId);
}

/** Waits until a host is a voter with another replica than before. */
export async function awaitNewVoter(trial: Trial, hostId: string, before: string): Promise<void> {
  const untilMs = performance.now() + waitLimitMs;
  while (performance.now() < untilMs) {
    const replica = await replicaOf(trial, hostId);
    if (replica?.role === 'voter' && replica.replicaId !== before) return;
  }
  throw new Error(`"${hostId}" did not become a voter`);
}
