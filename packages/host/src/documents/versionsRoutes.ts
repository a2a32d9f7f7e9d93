import { setTimeout as delay } from 'node:timers/promises';

import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { StatusReply, VersionReply } from '@buckthornlug/protocol/admin/adminSchema.js';
import { resultCodes } from '@buckthornlug/protocol/results/resultCodes.js';
import type { Hono } from 'hono';
import { z } from 'zod';

import { failureResponse } from '../admin/adminListener.js';
import type { HostRecord, MembershipView, RunningFeature } from '../runtime/hostTypes.js';

/** What the routes read. */
export interface VersionSources {
  readonly membership: () => MembershipView;
  readonly documentVersion: () => number;
  readonly running: readonly RunningFeature[];
  /** Hosts named by the settings. */
  readonly expectedHosts: readonly string[];
  /**
   * Hosts that a member of the control group takes for behind a version; undefined where none
   * answers, or where this host is a member itself.
   */
  readonly askMember: (version: number) => Promise<readonly string[] | undefined>;
}

const maxWaitMs = 60_000;
const recheckMs = 20;
/** Interval at which a member is asked again. */
const askAgainMs = 500;

const pathSchema = z.coerce.number().int().min(0);
const waitSchema = z.coerce.number().min(0).max(maxWaitMs).default(0);

type BehindHost = VersionReply['behindHosts'][number];

function isExpected(host: HostRecord): boolean {
  return host.state !== 'left';
}

/**
 * Names the hosts that have not confirmed a version to this host, those never heard of included.
 *
 * @param sources - membership and settings
 * @param version - version of the document
 */
export function hostsBehind(sources: VersionSources, version: number): BehindHost[] {
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

/** Hosts that have confirmed a version neither to this host nor to a member of the control group. */
async function mergedBehind(sources: VersionSources, version: number): Promise<BehindHost[]> {
  const behind = hostsBehind(sources, version);
  if (behind.length === 0) return behind;
  const known = await sources.askMember(version);
  if (known === undefined) return behind;
  const behindThere = new Set(known);
  return behind.filter((host) => behindThere.has(host.hostId));
}

async function waitForAll(
  sources: VersionSources,
  version: number,
  waitMs: number,
): Promise<BehindHost[]> {
  const startedAtMs = performance.now();
  let askedAtMs = startedAtMs;
  let behind = await mergedBehind(sources, version);
  while (behind.length > 0 && performance.now() - startedAtMs < waitMs) {
    await delay(recheckMs);
    if (performance.now() - askedAtMs >= askAgainMs) {
      askedAtMs = performance.now();
      behind = await mergedBehind(sources, version);
    } else if (hostsBehind(sources, version).length === 0) {
      behind = [];
    }
  }
  return behind;
}

async function statusOf(sources: VersionSources): Promise<StatusReply> {
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
    behindHosts: await mergedBehind(sources, newest),
    features,
  };
}

/**
 * Registers `GET /v1/status`, and `GET /v1/versions/:version?waitMs=`, which answers when every host
 * has confirmed the version, or with BL2009 and the hosts that have not.
 *
 * @param app - application of the admin listener
 * @param sources - membership, document and features
 */
export function registerVersionsRoutes(app: Hono, sources: VersionSources): void {
  app.get('/v1/status', async (context) => context.json(await statusOf(sources)));
  app.get('/v1/versions/:version', async (context) => {
    const version = pathSchema.safeParse(context.req.param('version'));
    const wait = waitSchema.safeParse(context.req.query('waitMs'));
    if (!version.success || !wait.success) {
      return failureResponse(failure('BL3010', 'a version number and waitMs are expected'));
    }
    const behindHosts = await waitForAll(sources, version.data, wait.data);
    const reply: VersionReply = {
      version: version.data,
      inForce: behindHosts.length === 0,
      behindHosts,
    };
    if (reply.inForce) return context.json(reply);
    const names = behindHosts.map((host) => host.hostId).join(', ');
    const notReached = failure('BL2009', `not confirmed by ${names}`);
    const { httpStatus } = resultCodes.BL2009;
    return Response.json({ ...reply, failure: notReached }, { status: httpStatus });
  });
}
