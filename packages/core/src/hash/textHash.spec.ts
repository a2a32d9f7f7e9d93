import test from 'ava';

import { hashText } from './textHash.js';

/** Hashes in use; other values would move identities between ledger groups and pools between hosts. */
const pinnedHashes = new Map([
  ['', 2872998923],
  ['a', 444641715],
  ['é', 3136788073],
  ['seq-a/yardboard/seq-a-1', 2379744206],
  ['ledger-north\nshop\norder\n42', 3092227236],
]);

test('hashes that select ledger groups and pool owners do not change', (t) => {
  for (const [text, hash] of pinnedHashes) t.is(hashText(text), hash);
});
