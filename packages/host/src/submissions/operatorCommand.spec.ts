import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultCode } from '@buckthornlug/protocol/results/resultCodes.js';
import test from 'ava';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';

import { retryUntilOutcomeKnown } from './operatorCommand.js';

const attemptMs = 2500;

/** Results of the attempts, the last one repeated; each attempt takes 2.5 s of the fake clock. */
const cases: { attempts: (ResultCode | 'done')[]; heard: ResultCode | 'done' }[] = [
  { attempts: ['done'], heard: 'done' },
  { attempts: ['BL5001', 'BL5002', 'BL5001', 'done'], heard: 'done' },
  { attempts: ['BL5001'], heard: 'BL5001' },
  { attempts: ['BL5002', 'BL5001'], heard: 'BL2008' },
  { attempts: ['BL5001', 'BL5009', 'done'], heard: 'BL5009' },
  { attempts: ['BL5001', 'BL5001', 'BL5001', 'BL5001', 'done'], heard: 'BL5001' },
];

for (const { attempts, heard } of cases) {
  test(`a retried command ends with ${heard} after ${attempts.join(', ')}`, async (t) => {
    let nowMs = 0;
    let made = 0;
    const attempt = (): ResultAsync<string, Failure> => {
      nowMs += attemptMs;
      const answer = attempts[Math.min(made, attempts.length - 1)] ?? 'done';
      made += 1;
      return answer === 'done' ? okAsync(answer) : errAsync(failure(answer, 'no'));
    };
    const unknown = failure('BL2008', 'not known');
    const result = await retryUntilOutcomeKnown({ nowMs: () => nowMs }, attempt, unknown);
    t.is(result.isOk() ? result.value : result.error.code, heard);
  });
}
