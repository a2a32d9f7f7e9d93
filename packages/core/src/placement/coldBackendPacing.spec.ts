import test from 'ava';

import { ColdCallPacer, maySendToColdBackend } from './coldBackendPacing.js';

const hostIds = ['host-1', 'host-2', 'host-3', 'host-4', 'host-5'];

test('two hosts of the zone may send to a cold backend server, and all hosts agree on them', (t) => {
  for (const backendId of ['b-1', 'b-2', 'b-3']) {
    const senders = hostIds.filter((hostId) => maySendToColdBackend(hostId, hostIds, backendId));
    t.is(senders.length, 2);
  }
});

test('a host of another zone may not send to a cold backend server', (t) => {
  t.false(maySendToColdBackend('host-9', hostIds, 'b-1'));
});

test('two senders together stay within the rate in any second', (t) => {
  const callsPerS = 10;
  const sentAtMs: number[] = [];
  for (const startMs of [0, 130]) {
    const pacer = new ColdCallPacer();
    for (let nowMs = startMs; nowMs < 5000; nowMs += 1) {
      if (!pacer.maySend(nowMs)) continue;
      pacer.recordSend(callsPerS, nowMs);
      sentAtMs.push(nowMs);
    }
  }
  for (const fromMs of sentAtMs) {
    const inSecond = sentAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1000);
    t.true(inSecond.length <= callsPerS);
  }
});

test('a backend server that takes no calls while cold gets at most one', (t) => {
  const pace = new ColdCallPacer();
  pace.recordSend(0, 0);
  t.false(pace.maySend(1e9));
});
