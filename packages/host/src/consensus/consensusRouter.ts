import {
  signedReplicaChangeSchema,
  type SignedReplicaChange,
} from '@buckthornlug/protocol/groups/replicaChangeSchema.js';
import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import {
  deliverSchema,
  describeSchema,
  joinSchema,
  submitSchema,
  type DeliverReply,
  type DeliverRequest,
  type DescribeRequest,
  type GroupDescription,
  type JoinRequest,
  type LeaderReply,
  type SubmitRequest,
} from './consensusSchema.js';

/** Handlers of the procedures of replicated groups. */
export interface ConsensusHandlers {
  readonly deliver: (fromHostId: string, request: DeliverRequest) => Promise<DeliverReply>;
  readonly submit: (request: SubmitRequest) => Promise<LeaderReply>;
  readonly describe: (request: DescribeRequest) => GroupDescription;
  readonly join: (request: JoinRequest) => LeaderReply;
  readonly changeReplicas: (request: SignedReplicaChange) => Promise<LeaderReply>;
}

/** Creates the router with the procedures of replicated groups. */
export function createConsensusRouter(handlers: ConsensusHandlers) {
  return rpcRouter({
    deliver: rpcProcedure
      .input(deliverSchema)
      .mutation(({ ctx, input }) => handlers.deliver(ctx.fromHostId, input)),
    submit: rpcProcedure.input(submitSchema).mutation(({ input }) => handlers.submit(input)),
    describe: rpcProcedure.input(describeSchema).query(({ input }) => handlers.describe(input)),
    join: rpcProcedure.input(joinSchema).mutation(({ input }) => handlers.join(input)),
    changeReplicas: rpcProcedure
      .input(signedReplicaChangeSchema)
      .mutation(({ input }) => handlers.changeReplicas(input)),
  });
}
