import { executionHeader, resultCodeHeader } from '@buckthornlug/protocol/calls/callHeaders.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { Agent, request } from 'undici';

import { testHostName, testIdentityHeader } from '../fakes/testDocument.js';

/** What a device got for one call. */
export interface DeviceReply {
  /** `answered`, the code of a refusal, or `silent` where no whole answer came. */
  readonly result: string;
  readonly execution: string | undefined;
  readonly body: string;
}

/** Sends the orders of devices over HTTP. */
export class OnceDevices {
  private readonly agent = new Agent({ connections: 64, pipelining: 1 });

  constructor(private readonly timeoutMs: number) {}

  /** Sends one order to a host. */
  async send(endpoint: Endpoint, identity: string): Promise<DeviceReply> {
    try {
      const reply = await request(`${originOf(endpoint)}/orders`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: { host: testHostName, [testIdentityHeader]: identity },
        body: `order of ${identity}`,
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const body = await reply.body.text();
      const code = reply.headers[resultCodeHeader];
      const execution = reply.headers[executionHeader];
      return {
        result: typeof code === 'string' ? code : 'answered',
        execution: typeof execution === 'string' ? execution : undefined,
        body,
      };
    } catch {
      return { result: 'silent', execution: undefined, body: '' };
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
