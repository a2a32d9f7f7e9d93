import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';

import { startFakeBackend, type FakeBackend } from '../../fakes/fakeBackend.js';
import { fakeBackendOptionsSchema, type FakeBackendOptions } from '../../fakes/fakeBackendTypes.js';
import { startRelay } from '../../fakes/relay.js';
import { inForce } from '../../fakes/testDocument.js';
import { runLoad } from './loadGenerator.js';
import type { BenchReply, BenchRequest, FakeReport, RelayLine, SlotTime } from './loadTypes.js';
import { startNaiveHost } from './naiveHost.js';

/** A process of a load bench: a host, fake backend servers, a relay or a source of load. */

const usPerMs = 1000;
let host: RunningHost | undefined;
const fakes = new Map<
  string,
  { readonly options: FakeBackendOptions; readonly fake: FakeBackend }
>();

async function startFakes(options: readonly FakeBackendOptions[]): Promise<void> {
  for (const entry of options) {
    const fake = await startFakeBackend(entry);
    fakes.set(entry.backendId, { options: entry, fake });
  }
}

/** Starts a relay that delays both ways between two hosts. */
async function startLine({ listen, to, oneWayDelayMs }: RelayLine): Promise<void> {
  const relay = await startRelay(listen, to);
  relay.delay('forth', oneWayDelayMs);
  relay.delay('back', oneWayDelayMs);
}

function reportFakes(): FakeReport[] {
  return [...fakes.values()].map(({ options, fake }) => {
    const { backendId, service, availabilityZone, slots } = fakeBackendOptionsSchema.parse(options);
    return { backendId, service, availabilityZone, slots, counts: fake.counts() };
  });
}

function slotTimesOf(running: RunningHost | undefined): SlotTime[] {
  const times: SlotTime[] = [];
  for (const series of running?.context.metrics.series() ?? []) {
    if (series.name !== 'slot_ms' || series.type !== 'histogram') continue;
    const { totalCount, mean } = series.histogram;
    const totalMs = (mean * totalCount) / usPerMs;
    times.push({ service: series.labels.service ?? '', calls: totalCount, totalMs });
  }
  return times;
}

async function carryOut(request: BenchRequest): Promise<BenchReply> {
  switch (request.message) {
    case 'load':
      return { message: 'results', results: await runLoad(request) };
    case 'fakes':
      await startFakes(request.fakes);
      return { message: 'ready' };
    case 'counts':
      return { message: 'counts', fakes: reportFakes() };
    case 'slotTimes':
      return { message: 'slotTimes', times: slotTimesOf(host) };
    case 'setState':
      await fakes.get(request.backendId)?.fake.setState(request.state);
      return { message: 'ready' };
    case 'relay':
      for (const line of request.lines) await startLine(line);
      return { message: 'ready' };
    case 'naiveHost':
      await startNaiveHost(request);
      return { message: 'ready' };
    default: {
      const started = await startHost(request.settings, { document: inForce(request.document) });
      if (started.isErr()) throw new Error(JSON.stringify(started.error));
      host = started.value;
      return { message: 'ready' };
    }
  }
}

process.on('message', (request: BenchRequest) => {
  carryOut(request)
    .then((reply) => process.send?.(reply))
    .catch((error: unknown) => {
      console.error(error);
      process.exit(1);
    });
});
process.on('disconnect', () => process.exit(0));
