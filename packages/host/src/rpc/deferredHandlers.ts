import { TRPCError } from '@trpc/server';

/**
 * Creates handlers that look up the feature's handlers at each call, so that the router can be
 * built before the features start. A call before the feature has started is refused.
 *
 * @param findHandlers - returns the feature's handlers, or undefined before it has started
 */
export function deferHandlers<Handlers extends object>(
  findHandlers: () => Handlers | undefined,
): Handlers {
  return new Proxy({} as Handlers, {
    get: (_target, name) => {
      const handlers = findHandlers();
      if (handlers === undefined) {
        throw new TRPCError({
          code: 'PRECONDITION_FAILED',
          message: 'the feature has not started',
        });
      }
      return Reflect.get(handlers, name) as unknown;
    },
  });
}
