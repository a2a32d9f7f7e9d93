import { TRPCError } from '@trpc/server';

/**
 * Builds handlers that look up the real ones at each call, so that the router exists before its
 * features have started. A call before that is refused.
 *
 * @param findHandlers - returns the handlers of the feature once it has started
 */
export function deferHandlers<Handlers extends object>(
  findHandlers: () => Handlers | undefined,
): Handlers {
  return new Proxy({} as Handlers, {
    get: (_target, name) => {
      const handlers = findHandlers();
      if (handlers === undefined) {
        throw new TRPCError({ code: 'PRECONDITION_FAILED', message: 'the feature is not started' });
      }
      return Reflect.get(handlers, name) as unknown;
    },
  });
}
