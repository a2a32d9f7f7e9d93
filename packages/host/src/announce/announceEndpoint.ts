import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  announcementSchema,
  type Announcement,
} from '@buckthornlug/protocol/announce/announceSchema.js';
import { announceKeyHeader } from '@buckthornlug/protocol/calls/callHeaders.js';
import { faultsOf } from '@buckthornlug/protocol/common/faults.js';
import { decodeStrictUtf8 } from '@buckthornlug/protocol/common/strictUtf8.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, Result } from 'neverthrow';

import { sendRefusal } from '../calls/refusal.js';
import { receiveBody } from '../calls/requestBody.js';
import { hasValidKey } from '../rpc/requestAuth.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';

/** Largest body of an announcement, in bytes. */
const maxAnnouncementBytes = 16_384;
/** Time limit for receiving an announcement. */
const receiveTimeoutMs = 2000;

const parseJson = Result.fromThrowable(
  (bytes: Uint8Array): unknown => JSON.parse(decodeStrictUtf8(bytes)),
  () => failure('BL4001', 'the announcement is not JSON'),
);

function checkSchema(value: unknown): Result<Announcement, Failure> {
  const parsed = announcementSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const faults = faultsOf(parsed.error);
  return err(failure('BL4001', 'the announcement is not valid', { faults }));
}

/** Handles an announcement request of a backend server. */
export type AnnounceEndpoint = (request: IncomingMessage, response: ServerResponse) => void;

/**
 * Creates the endpoint for announcements.
 *
 * @param onAccepted - called with each accepted announcement
 */
export function createAnnounceEndpoint(
  context: HostContext,
  parts: HostParts,
  onAccepted: (announcement: Announcement) => void,
): AnnounceEndpoint {
  const { settings } = context;
  const limits = {
    maxBodyBytes: maxAnnouncementBytes,
    replayBodyBytes: maxAnnouncementBytes,
    idleBodyTimeoutMs: settings.limits.idleBodyTimeoutMs,
  };

  const checkKey = (request: IncomingMessage): Result<void, Failure> => {
    const keyHeader = request.headers[announceKeyHeader];
    if (typeof keyHeader === 'string' && hasValidKey(keyHeader, settings.announceKeys)) {
      return ok(undefined);
    }
    context.record({ kind: 'keyRefused', code: 'BL4002' });
    return err(failure('BL4002', 'the announcement key is not valid'));
  };

  const checkServiceAndZone = (announcement: Announcement): Result<Announcement, Failure> => {
    const { service, availabilityZone } = announcement;
    const inForce = parts.document.current();
    if (inForce === undefined) return err(failure('BL2010', 'no document is in force'));
    if (inForce.document.services[service] === undefined) {
      return err(failure('BL4003', `service "${service}"`));
    }
    if (availabilityZone !== settings.availabilityZone) {
      return err(failure('BL4004', `this host is in "${settings.availabilityZone}"`));
    }
    return ok(announcement);
  };

  const receive = async (request: IncomingMessage) => {
    const key = checkKey(request);
    if (key.isErr()) return err(key.error);
    const body = await receiveBody(request, limits, true, AbortSignal.timeout(receiveTimeoutMs));
    return body
      .andThen((received) => {
        const bytes = received.form === 'whole' ? received.bytes : null;
        return parseJson(bytes ?? Buffer.alloc(0));
      })
      .andThen(checkSchema)
      .andThen(checkServiceAndZone)
      .andThen((announcement) => {
        const reply = parts.receiveAnnouncement(announcement);
        if (reply.isOk()) onAccepted(announcement);
        return reply;
      });
  };

  return (request, response) => {
    receive(request)
      .then((reply) => {
        if (reply.isErr()) {
          sendRefusal(response, reply.error);
          return;
        }
        const body = Buffer.from(JSON.stringify(reply.value));
        response.writeHead(200, {
          'content-type': 'application/json',
          'content-length': body.length,
        });
        response.end(body);
      })
      .catch((error: unknown) => {
        context.log.error('announceDefect', { detail: String(error) });
        sendRefusal(response, failure('BL3018', 'an internal error ended the announcement'));
      });
  };
}
