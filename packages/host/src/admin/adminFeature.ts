import type { Feature } from '../runtime/hostParts.js';
import { createAdminApp, listenAdmin } from './adminListener.js';

/** The administration API with the routes of all features. */
export const adminFeature: Feature = {
  name: 'admin',
  isEnabled: () => true,
  start: (context, parts) => {
    const app = createAdminApp(parts.adminRoutes, context.log);
    return listenAdmin(context.settings.listen.admin, app).map((listener) => ({
      name: 'admin',
      stopSteps: { closeListeners: listener.close },
    }));
  },
};
