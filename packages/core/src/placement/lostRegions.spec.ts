import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';
import test from 'ava';

import { SpillAllowance } from '../regionPlan/spillAllowance.js';
import { AffinityPool } from './affinityPool.js';
import { AnswerTimeEstimates } from './answerTimeEstimates.js';
import type { PlaceableCall } from './placementTypes.js';
import { sampleBackend } from './sampleBackend.js';
import { TrackedBackend, type Distance } from './trackedBackend.js';

const nowMs = 10_000;

function backendIn(region: string, index: number, coldUntilMs = 0): TrackedBackend {
  const distance: Distance = region === 'north' ? 'zone' : 'far';
  const record: RegisteredBackend = {
    ...sampleBackend().record,
    backendId: `${region}-${index}`,
    availabilityZone: `${region}-a`,
  };
  return new TrackedBackend(record, region, distance, 0, coldUntilMs);
}

function callOf(tried: readonly string[]): PlaceableCall {
  return {
    requestId: 'call-1',
    routeId: 'reads',
    service: 'desk',
    objectKey: 'object-1',
    rank: 1,
    targetMs: 300,
    targetAtMs: nowMs + 300,
    deadlineAtMs: nowMs + 1000,
    homeRegions: [],
    tried: new Set(tried),
  };
}

/** What has happened to the backend servers of the planned region, and where the call goes. */
const cases: readonly {
  readonly title: string;
  readonly planned: 'north' | 'south';
  readonly happen?: (backend: TrackedBackend) => void;
  readonly coldUntilMs?: number;
  readonly tried?: readonly string[];
  readonly registered?: ReadonlyMap<string, number>;
  readonly expected: 'planned' | 'elsewhere' | 'turnedAway';
}[] = [
  { title: 'nothing', planned: 'north', expected: 'planned' },
  {
    title: 'they cannot be reached, and the region had all calls',
    planned: 'north',
    happen: (backend) => backend.backOff(nowMs),
    expected: 'elsewhere',
  },
  {
    title: 'they have asked for a pause',
    planned: 'north',
    happen: (backend) => backend.pauseUntil(nowMs + 500),
    expected: 'turnedAway',
  },
  {
    title: 'they were tried and did not run the call',
    planned: 'north',
    tried: ['north-0', 'north-1'],
    expected: 'elsewhere',
  },
  {
    title: 'they are cold, in another region',
    planned: 'south',
    coldUntilMs: nowMs + 1000,
    expected: 'elsewhere',
  },
  {
    title: 'most were lost, and the others are full',
    planned: 'north',
    happen: (backend) => {
      for (let call = 0; call < 60; call += 1) backend.start(nowMs);
    },
    registered: new Map([['north', 6]]),
    expected: 'elsewhere',
  },
];

for (const { title, planned, happen, coldUntilMs, tried = [], registered, expected } of cases) {
  test(`of the backend servers of the planned region: ${title}: ${expected}`, (t) => {
    const place = { hostId: 'h1', availabilityZone: 'north-a', region: 'north', maxShift: 0.15 };
    const pool = new AffinityPool(place, new AnswerTimeEstimates(), new SpillAllowance(0), 0);
    const backends = ['north', 'south'].flatMap((region) =>
      [0, 1].map((index) => backendIn(region, index, region === planned ? coldUntilMs : 0)),
    );
    pool.reconfigure(backends, registered ?? new Map(), 10, {
      zoneHostIds: ['h1'],
      regionHostCount: 1,
    });
    pool.setSplit({ [planned]: 1 }, nowMs - 5000);
    for (const backend of backends) if (backend.region === planned) happen?.(backend);
    const decision = pool.offer(callOf(tried), nowMs);
    const region = decision.decision === 'send' ? decision.place.backend.region : undefined;
    const found = region === planned ? 'planned' : 'elsewhere';
    t.is(region === undefined ? 'turnedAway' : found, expected);
  });
}
