import test from 'ava';

import { CallAborted } from './callAborted.js';
import { CallController } from './callController.js';

test('an abort reaches each listener once, with the first reason, and none that was removed', (t) => {
  const controller = new CallController();
  const told: string[] = [];
  const removed = () => told.push('removed');
  controller.addEventListener('abort', () => {
    told.push('first');
    controller.abort(new CallAborted('timedOut'));
  });
  controller.addEventListener('abort', removed);
  controller.addEventListener('abort', () => told.push('last'));
  controller.removeEventListener('abort', removed);
  controller.abort(new CallAborted('cancelled'));
  t.deepEqual(told, ['first', 'last']);
  t.is(controller.reason?.result, 'cancelled');
});
