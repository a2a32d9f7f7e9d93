/**
 * The result codes of all processes. docs/ERRORS.md is generated from this table.
 *
 * Ranges: BL1xxx settings and start, BL2xxx document and submissions, BL3xxx calls and routing,
 * BL4xxx backend servers, BL5xxx consensus and storage, BL6xxx membership and keys,
 * BL7xxx look-ups, BL8xxx shifts, BL9xxx at-most-once ledger.
 */

/** What a refusal proves about the execution of the call. */
export type ExecutionStatus = 'notRun' | 'ran' | 'unknown';

/** One row of the result code table. */
export interface ResultCodeRow {
  /** HTTP status sent with the code. */
  readonly httpStatus: number;
  /** What the code proves about the call's execution; absent if no call is involved. */
  readonly executionStatus?: ExecutionStatus;
  /** One sentence. */
  readonly meaning: string;
  /** What the recipient of the code should do. */
  readonly action: string;
}

const table = {
  BL1001: {
    httpStatus: 400,
    meaning: 'The settings file cannot be read.',
    action: 'Check the path and the permissions of the file.',
  },
  BL1002: {
    httpStatus: 400,
    meaning: 'The settings file is not valid JSON.',
    action: 'Correct the syntax at the reported position.',
  },
  BL1003: {
    httpStatus: 400,
    meaning: 'A field of the settings is missing or has a wrong value.',
    action: 'Correct each path listed.',
  },
  BL1004: {
    httpStatus: 500,
    meaning: 'A listener cannot bind its address.',
    action: 'Free the address and port or change the settings.',
  },
  BL1005: { httpStatus: 400, meaning: 'Command line arguments are wrong.', action: 'See --help.' },
  BL1006: { httpStatus: 503, meaning: 'The host is stopping.', action: 'Use another host.' },

  BL2001: {
    httpStatus: 400,
    meaning: 'The document is not valid JSON.',
    action: 'Correct the syntax.',
  },
  BL2002: {
    httpStatus: 400,
    meaning: 'A field of the document is missing or has a wrong value.',
    action: 'Correct each path listed.',
  },
  BL2003: {
    httpStatus: 400,
    meaning: 'Sections of the document contradict each other.',
    action: 'Correct each path listed.',
  },
  BL2004: {
    httpStatus: 403,
    meaning: 'A section was changed by a team that does not own it.',
    action: 'Let the owning team submit the section.',
  },
  BL2005: {
    httpStatus: 409,
    meaning: 'A section has a newer version than the one the change is based on.',
    action: 'Get the document, merge and submit again.',
  },
  BL2006: {
    httpStatus: 401,
    meaning: 'The submission has no valid signature of a team.',
    action: 'Check the team key.',
  },
  BL2007: {
    httpStatus: 409,
    meaning: 'The submission ID was already used with different content.',
    action: 'Submit with a new ID.',
  },
  BL2008: {
    httpStatus: 504,
    meaning: 'The outcome of the submission is not known yet.',
    action: 'Send the same submission again; the reply is the original one.',
  },
  BL2009: {
    httpStatus: 504,
    meaning: 'The version was accepted, but some hosts did not confirm it in time.',
    action: 'Check the hosts listed; they apply the version once they are reachable.',
  },
  BL2010: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'No document is in force on this host yet.',
    action: 'Try again, or another host.',
  },
  BL2011: {
    httpStatus: 409,
    meaning: 'The change would move identities of at-most-once work to another ledger.',
    action: 'Revert the change at each path listed.',
  },
  BL2012: {
    httpStatus: 404,
    meaning: 'No answer to the submission is stored.',
    action: 'Send the submission again.',
  },
  BL2013: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning:
      'The document of the host has no route for the call, and a newer one may have it: no control host has confirmed the document lately.',
    action: 'Try again, or another host.',
  },

  BL3001: {
    httpStatus: 404,
    executionStatus: 'notRun',
    meaning: 'No service or kind of work matches the call.',
    action: 'Check the host name, method and path.',
  },
  BL3002: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'The call cannot be answered within its target; it was refused before it ran.',
    action: 'Try again after the time given.',
  },
  BL3003: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'No backend server of the service can be reached from this host.',
    action: 'Try again after the time given, or another host.',
  },
  BL3004: {
    httpStatus: 504,
    executionStatus: 'notRun',
    meaning: 'The deadline passed while the call waited.',
    action: 'Try again.',
  },
  BL3005: {
    httpStatus: 504,
    executionStatus: 'unknown',
    meaning: 'The deadline passed while a backend server worked on the call.',
    action: 'Repeat only idempotent work.',
  },
  BL3006: {
    httpStatus: 502,
    executionStatus: 'unknown',
    meaning: 'The exchange with the backend server ended without a complete answer.',
    action: 'Repeat only idempotent work.',
  },
  BL3007: {
    httpStatus: 413,
    executionStatus: 'notRun',
    meaning: 'The body of the call is larger than allowed.',
    action: 'Send a smaller body.',
  },
  BL3008: {
    httpStatus: 431,
    executionStatus: 'notRun',
    meaning: 'The head of the call is larger than allowed.',
    action: 'Send fewer or shorter header fields.',
  },
  BL3009: {
    httpStatus: 408,
    executionStatus: 'notRun',
    meaning: 'The caller sent its request too slowly.',
    action: 'Send the request without pauses.',
  },
  BL3010: {
    httpStatus: 400,
    executionStatus: 'notRun',
    meaning: 'The request is malformed.',
    action: 'Correct the request.',
  },
  BL3011: {
    httpStatus: 508,
    executionStatus: 'notRun',
    meaning: 'The call was forwarded more often than allowed.',
    action: 'Report it as a defect; routing must not loop.',
  },
  BL3012: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'The receiving host granted no credit for the call.',
    action: 'Try again after the time given.',
  },
  BL3013: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'The retry budget is used up.',
    action: 'Try again after the time given.',
  },
  BL3014: {
    httpStatus: 502,
    executionStatus: 'unknown',
    meaning: 'The exchange with another host ended without a complete answer to the call.',
    action: 'Repeat only idempotent work.',
  },
  BL3015: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'The backend server refused the call before it ran.',
    action: 'Try again after the time given.',
  },
  BL3016: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'The host is stopping and takes no new calls.',
    action: 'Use another host of the look-up.',
  },
  BL3017: {
    httpStatus: 499,
    executionStatus: 'unknown',
    meaning: 'The caller closed the connection.',
    action: 'None.',
  },
  BL3018: {
    httpStatus: 500,
    executionStatus: 'unknown',
    meaning: 'An internal defect ended the call.',
    action: 'Report it with the log lines of the request.',
  },
  BL3019: {
    httpStatus: 400,
    executionStatus: 'unknown',
    meaning:
      'The request body was incomplete or too large after a backend server had started the call.',
    action: 'Repeat only idempotent work; send the whole body without pauses.',
  },
  BL3020: {
    httpStatus: 502,
    executionStatus: 'ran',
    meaning:
      'The answer of the backend server has neither a length nor a chunked coding, so its completeness cannot be checked.',
    action: 'Configure the backend server to send a length or a chunked coding.',
  },

  BL4001: {
    httpStatus: 400,
    meaning: 'The announcement has a missing or wrong field.',
    action: 'Correct each path listed.',
  },
  BL4002: {
    httpStatus: 401,
    meaning: 'The announcement has no valid key.',
    action: 'Check the announcement key.',
  },
  BL4003: {
    httpStatus: 404,
    meaning: 'The announced service is not in the document.',
    action: 'Announce a service of the document.',
  },
  BL4004: {
    httpStatus: 421,
    meaning: 'The backend server is in another availability zone.',
    action: 'Announce to a host in the availability zone of the backend server.',
  },

  BL5001: { httpStatus: 503, meaning: 'No leader is known for the group.', action: 'Try again.' },
  BL5002: {
    httpStatus: 504,
    meaning: 'The outcome of the command is not known.',
    action: 'Send the same command again with the same identity.',
  },
  BL5003: {
    httpStatus: 500,
    meaning: 'A file of the data folder is damaged.',
    action: 'Run the offline check; replace the replica.',
  },
  BL5004: {
    httpStatus: 507,
    meaning: 'The data folder cannot be written or synced.',
    action: 'Free the disk; the replica stops voting until then.',
  },
  BL5005: {
    httpStatus: 404,
    meaning: 'The host is not a member of the group.',
    action: 'Ask a member.',
  },
  BL5006: {
    httpStatus: 409,
    meaning: 'A membership change of the group is still in progress.',
    action: 'Try again when it has completed.',
  },
  BL5007: {
    httpStatus: 409,
    meaning:
      'The state of a group that was formed before is lost; the group does not form again without consent.',
    action:
      'Restore a disk of the group, or accept the loss with `buckthornlugctl group form-anew`.',
  },
  BL5008: {
    httpStatus: 409,
    meaning: 'A replica of the group still runs, so the loss of its state is not accepted.',
    action: 'Repair the group, or empty the disks of all its members first.',
  },
  BL5009: {
    httpStatus: 409,
    meaning:
      'The `lostId` of the request is neither a known formation of the group nor the disk that will form it.',
    action: 'Get `/v1/groups/<group>/formation` and send the `lostId` that it shows.',
  },
  BL5010: {
    httpStatus: 409,
    meaning: 'The replicas of the group differ from those that the change is based on.',
    action: 'Check the replicas of the group and request the change again.',
  },
  BL5011: {
    httpStatus: 409,
    meaning: 'The remaining replicas have no majority that answers, so the replica is not removed.',
    action: 'Restore another replica, or add one first.',
  },
  BL5012: {
    httpStatus: 401,
    meaning: 'The change of the replicas has no valid signature, or is more than 5 minutes old.',
    action: 'Check the cluster key and the clock; request the change again.',
  },
  BL5013: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning:
      'The order was not taken: its caller has left, or the state has changed since it was received.',
    action: 'Send the order again if it is still wanted.',
  },

  BL6001: {
    httpStatus: 401,
    executionStatus: 'notRun',
    meaning: 'The request between hosts has no valid key.',
    action: 'Check the cluster keys of both hosts.',
  },
  BL6002: {
    httpStatus: 409,
    meaning: 'The host identity is in use by another process.',
    action: 'Give each host its own identity.',
  },
  BL6003: {
    httpStatus: 504,
    meaning: 'The host did not answer in time.',
    action: 'Check the timeline of that host.',
  },

  BL7001: {
    httpStatus: 404,
    meaning: 'The service looked up is not in the document.',
    action: 'Check the name.',
  },
  BL7002: { httpStatus: 400, meaning: 'The look-up is malformed.', action: 'Name a service.' },
  BL7003: {
    httpStatus: 503,
    meaning: 'No known host takes calls for the service.',
    action: 'Try again.',
  },

  BL8001: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'The cap on shifted traffic is reached at the receiving region.',
    action: 'Try again after the time given.',
  },
  BL8002: {
    httpStatus: 409,
    meaning: 'A shift step of an older plan was refused.',
    action: 'None; the host has the newer plan.',
  },

  BL9001: {
    httpStatus: 503,
    executionStatus: 'notRun',
    meaning: 'The ledger cannot be reached, so the call was not started.',
    action: 'Send it again with the same identity.',
  },
  BL9002: {
    httpStatus: 409,
    executionStatus: 'unknown',
    meaning: 'The work was started, and its outcome is not known.',
    action: 'Check with the service before sending the work under a new identity.',
  },
  BL9003: {
    httpStatus: 409,
    executionStatus: 'ran',
    meaning: 'The work ran, but its answer was too large to keep.',
    action: 'Check with the service.',
  },
  BL9004: {
    httpStatus: 400,
    executionStatus: 'notRun',
    meaning: 'The identity was used before for another request.',
    action: 'Send a new identity for new work.',
  },
  BL9005: {
    httpStatus: 504,
    executionStatus: 'unknown',
    meaning: 'The first attempt at this work is still running.',
    action: 'Send it again with the same identity.',
  },
} as const satisfies Record<string, ResultCodeRow>;

/** A result code such as `BL3002`. */
export type ResultCode = keyof typeof table;

/** Rows of the table by code. */
export const resultCodes: Readonly<Record<ResultCode, ResultCodeRow>> = table;
