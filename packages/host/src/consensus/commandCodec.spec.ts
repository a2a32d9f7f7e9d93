import test from 'ava';

import { encodeBinary } from './binaryCodec.js';
import { compressCommand, decodeCommand } from './commandCodec.js';

const route = (index: number) => ({
  routeId: `r-${index}`,
  hostName: `host-${index}.example`,
  pathPrefix: `/path-${index}/`,
  targets: [{ service: 'desk', weight: 1 }],
  execution: 'idempotent',
  homeRegions: [],
});

const commands = [
  { what: 'an empty command', command: {} },
  { what: 'a short command', command: { type: 'evacuation', availabilityZone: 'north-a' } },
  {
    what: 'a document of thousands of routes',
    command: {
      type: 'replaceRouting',
      routes: Array.from({ length: 4000 }, (_, index) => route(index)),
    },
  },
  { what: 'bytes', command: { bytes: Buffer.alloc(100_000, 0x1f) } },
];

for (const { what, command } of commands) {
  test(`a command is decoded as it was proposed, compressed or not: ${what}`, (t) => {
    const encoded = encodeBinary(command);
    t.deepEqual(decodeCommand(encoded), command);
    t.deepEqual(decodeCommand(compressCommand(encoded)), command);
  });
}

test('a document of thousands of routes takes a fifth of its bytes in the log', (t) => {
  const encoded = encodeBinary(commands[2]?.command);
  t.true(5 * compressCommand(encoded).byteLength < encoded.byteLength);
});
