import type { Feature } from '../runtime/hostParts.js';
import { listenAdmin } from './adminListener.js';

/** The administration API with the routes of all features. */
export const adminFeature: Feature = {
  name: 'admin',
  isEnabled: () => true,
  start: (context, parts) => {
    const loadHandler = async () => {
      const { createAdminApp } = await import('./adminApp.js');
      return createAdminApp(parts.adminRoutes, context.log);
    };
    const onFailure = (problem: string) => context.log.error('adminRequestFailed', { problem });
    const { admin } = context.settings.listen;
    return listenAdmin(admin, loadHandler, onFailure).map((listener) => ({
      name: 'admin',
      stopSteps: { closeListeners: listener.close },
    }));
  },
};
