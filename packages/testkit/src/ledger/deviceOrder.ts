import type { DeviceReply } from './onceDevice.js';

/** One order with everything that its device got. */
export class DeviceOrder {
  readonly replies: DeviceReply[] = [];

  constructor(readonly identity: string) {}

  get answers(): string[] {
    return this.replies.filter((reply) => reply.result === 'answered').map((reply) => reply.body);
  }

  get isOver(): boolean {
    return this.replies.some((reply) => reply.result === 'answered' || reply.result === 'BL9002');
  }

  /** Whether each reply said "not run". */
  get wasToldOnlyNotRun(): boolean {
    return this.replies.every((reply) => reply.execution === 'notRun');
  }
}
