import test from 'ava';

import { CallAborted } from './callAborted.js';
import { CallController } from './callController.js';

test('an abort notifies each listener once, keeps the first reason and skips removed listeners', (t) => {
  const controller = new CallController();
  const notified: string[] = [];
  const removed = () => notified.push('removed');
  controller.addEventListener('abort', () => {
    notified.push('first');
    controller.abort(new CallAborted('timedOut'));
  });
  controller.addEventListener('abort', removed);
  controller.addEventListener('abort', () => notified.push('last'));
  controller.removeEventListener('abort', removed);
  controller.abort(new CallAborted('cancelled'));
  t.deepEqual(notified, ['first', 'last']);
  t.is(controller.reason?.result, 'cancelled');
});
