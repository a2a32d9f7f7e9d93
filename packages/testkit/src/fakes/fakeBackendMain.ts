import { startFakeBackend } from './fakeBackend.js';
import { fakeBackendOptionsSchema } from './fakeBackendTypes.js';

/** A fake backend server as its own process: `fakeBackendMain.js <settings as JSON>`. */

const options = fakeBackendOptionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const backend = await startFakeBackend(options);
process.once('SIGTERM', () => {
  backend
    .leave()
    .then(() => process.disconnect?.())
    .catch((error: unknown) => console.error(error));
});
console.log(`ready ${options.backendId}`);
