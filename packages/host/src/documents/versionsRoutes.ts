import { setTimeout as delay } from 'node:timers/promises';

import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { StatusReply, VersionReply } from '@buckthornlug/protocol/admin/adminSchema.js';
import { resultCodes } from '@buckthornlug/protocol/results/resultCodes.js';
import type { Hono } from 'hono';
import { z } from 'zod';

import { failureResponse } from '../admin/adminResponses.js';
import type { HostRecord, MembershipView, RunningFeature } from '../runtime/hostTypes.js';

/** State that the routes read. */
export interface VersionSources {
  readonly membership: () => MembershipView;
  readonly documentVersion: () => number;
  readonly running: readonly RunningFeature[];
  /** Hosts named by the settings. */
  readonly expectedHosts: readonly string[];
  /**
   * Hosts that, according to a member of the control group, are behind a version; undefined if no
   * member answers or this host is a member itself.
   */
  readonly askMembersForBehindHosts: (version: number) => Promise<readonly string[] | undefined>;
}

const maxWaitMs = 60_000;
const recheckIntervalMs = 20;
/** Interval between two queries of a member. */
const memberQueryIntervalMs = 500;

const pathSchema = z.coerce.number().int().min(0);
const waitSchema = z.coerce.number().min(0).max(maxWaitMs).default(0);

type BehindHost = VersionReply['behindHosts'][number];

function isExpected(host: HostRecord): boolean {
  return host.state !== 'left';
}

/**
 * Finds the hosts that have not confirmed a document version to this host, including hosts of the
 * settings that are not known to the membership.
 */
export function findBehindHosts(sources: VersionSources, version: number): BehindHost[] {
  const hosts = sources.membership().hosts();
  const known = new Set(hosts.map((host) => host.hostId));
  const behind = hosts
    .filter((host) => isExpected(host) && host.documentVersion < version)
    .map(({ hostId, documentVersion }) => ({ hostId, documentVersion }));
  for (const hostId of sources.expectedHosts) {
    if (!known.has(hostId)) behind.push({ hostId, documentVersion: 0 });
  }
  return behind.sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
}

/** Finds the hosts that have confirmed a version neither to this host nor to a queried member. */
async function findBehindHostsMerged(
  sources: VersionSources,
  version: number,
): Promise<BehindHost[]> {
  const behind = findBehindHosts(sources, version);
  if (behind.length === 0) return behind;
  const behindOnMember = await sources.askMembersForBehindHosts(version);
  if (behindOnMember === undefined) return behind;
  const behindIds = new Set(behindOnMember);
  return behind.filter((host) => behindIds.has(host.hostId));
}

async function waitForConfirmation(
  sources: VersionSources,
  version: number,
  waitMs: number,
): Promise<BehindHost[]> {
  const startedAtMs = performance.now();
  let queriedAtMs = startedAtMs;
  let behind = await findBehindHostsMerged(sources, version);
  while (behind.length > 0 && performance.now() - startedAtMs < waitMs) {
    await delay(recheckIntervalMs);
    if (performance.now() - queriedAtMs >= memberQueryIntervalMs) {
      queriedAtMs = performance.now();
      behind = await findBehindHostsMerged(sources, version);
    } else if (findBehindHosts(sources, version).length === 0) {
      behind = [];
    }
  }
  return behind;
}

async function buildStatus(sources: VersionSources): Promise<StatusReply> {
  const features: StatusReply['features'] = {};
  for (const feature of sources.running) {
    if (feature.status !== undefined) features[feature.name] = feature.status();
  }
  const newest = Math.max(
    sources.documentVersion(),
    ...sources
      .membership()
      .hosts()
      .map((host) => host.documentVersion),
  );
  return {
    hostId: sources.membership().self().hostId,
    documentVersion: sources.documentVersion(),
    behindHosts: await findBehindHostsMerged(sources, newest),
    features,
  };
}

/**
 * Registers `GET /v1/status` and `GET /v1/versions/:version?waitMs=`. The latter answers as soon as
 * every host has confirmed the version, and after `waitMs` with BL2009 and the hosts that have not.
 */
export function registerVersionsRoutes(app: Hono, sources: VersionSources): void {
  app.get('/v1/status', async (context) => context.json(await buildStatus(sources)));
  app.get('/v1/versions/:version', async (context) => {
    const version = pathSchema.safeParse(context.req.param('version'));
    const wait = waitSchema.safeParse(context.req.query('waitMs'));
    if (!version.success || !wait.success) {
      return failureResponse(failure('BL3010', 'a version number and waitMs are expected'));
    }
    const behindHosts = await waitForConfirmation(sources, version.data, wait.data);
    const reply: VersionReply = {
      version: version.data,
      inForce: behindHosts.length === 0,
      behindHosts,
    };
    if (reply.inForce) return context.json(reply);
    const names = behindHosts.map((host) => host.hostId).join(', ');
    const notConfirmed = failure('BL2009', `not confirmed by ${names}`);
    const { httpStatus } = resultCodes.BL2009;
    return Response.json({ ...reply, failure: notConfirmed }, { status: httpStatus });
  });
}
