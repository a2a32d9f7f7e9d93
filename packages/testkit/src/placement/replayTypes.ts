import type { ReplayBackendModel } from './replayBackend.js';

/** A load that is replayed against the placement of calls, without processes or sockets. */

/** A sine wave on the calls of a zone. */
export interface ReplayWave {
  /** Largest change, as a part of the mean. */
  readonly swing: number;
  readonly periodMs: number;
  /** Part of a period by which the wave is ahead. */
  readonly phase: number;
}

/** A call that is sent to a backend server. */
export interface ReplayedRun {
  readonly fromRegion: string;
  readonly toRegion: string;
  readonly atMs: number;
}

/** One availability zone with its hosts, backend servers and callers. */
export interface ReplayZone {
  readonly zone: string;
  readonly region: string;
  readonly hosts: number;
  readonly backends: number;
  /** Calls of its callers a second, all routes together. */
  readonly callsPerS: number;
  /** Slow change of the calls; none where absent. */
  readonly wave?: ReplayWave;
}

/** One kind of calls. */
export interface ReplayRoute {
  readonly routeId: string;
  readonly rank: number;
  /** Part of the calls. */
  readonly share: number;
  readonly targetMs: number;
  readonly timeLimitMs: number;
  /** Mean time on a slot where the object was not handled lately. */
  readonly workMs: number;
  /** Objects of one region. */
  readonly objects: number;
}

/** A change of the load for some time. */
export interface ReplayTrouble {
  readonly fromMs: number;
  readonly toMs: number;
  /** Factor on the calls of one route or, where absent, of all; of the callers of one region or of all. */
  readonly burst?: { readonly routeId?: string; readonly region?: string; readonly factor: number };
  /** Factor on the work time of the first backend servers. */
  readonly slow?: { readonly backends: number; readonly factor: number };
}

export interface ReplayLoad {
  readonly zones: readonly ReplayZone[];
  readonly routes: readonly ReplayRoute[];
  /** Model of each backend server. */
  readonly backend: ReplayBackendModel;
  readonly regionLinkMs: number;
  readonly farLinkMs: number;
  /** Time for which an idle connection is kept. */
  readonly keepAliveMs: number;
  readonly durationMs: number;
  /** Time from which calls are counted, once each object has had its first run; 0 where absent. */
  readonly countFromMs?: number;
  readonly seed: number;
  readonly troubles?: readonly ReplayTrouble[];
  /** Called for each call that is sent, the ones that are not counted included. */
  readonly onRun?: (run: ReplayedRun) => void;
}

/** How the calls of one route ended. */
export interface ReplayResult {
  calls: number;
  inTarget: number;
  late: number;
  turnedAway: number;
  /** Calls broken off at a backend server when their time limit passed. */
  timedOut: number;
  /** Runs whose object was kept by the backend server. */
  warmRuns: number;
  runs: number;
  /** Runs in another region than the caller's. */
  farRuns: number;
  /** Connections opened for the runs. */
  newConnections: number;
}
