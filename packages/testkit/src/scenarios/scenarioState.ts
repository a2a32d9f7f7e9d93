import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import type { CallGroup } from './callGroup.js';
import type { ScenarioFleet } from './scenarioFleet.js';
import type { Scenario } from './scenarioSchema.js';

/** A running scenario. */
export interface ScenarioState {
  readonly scenario: Scenario;
  readonly fleet: ScenarioFleet;
  readonly callGroups: Map<string, CallGroup>;
  /** Documents that were fetched before each submission, the newest last. */
  readonly bases: SteeringDocument[];
  readonly exitStatuses: Map<string, number | null>;
  lastAcceptedVersion: number;
  submissions: number;
}
