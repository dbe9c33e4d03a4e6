/** Snapshot testing for Node's test runner, which lacks it in Node 20. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {after} from 'node:test';
import {fileURLToPath} from 'node:url';
import {SnapshotState} from 'jest-snapshot';

/**
 * Creates a function that compares a value with the named snapshot in `__snapshots__` beside the test's source. Missing
 * snapshots are written except in CI; UPDATE_SNAPSHOTS=1 also updates changed ones.
 */
export function createSnapshotMatcher(testUrl: string): (name: string, value: unknown) => void {
	const file = fileURLToPath(testUrl).replace('/dist/', '/').replace(/\.js$/v, '.snap');
	const path = file.replace(/([^\/]+)$/v, '__snapshots__/$1');
	const isCi = process.env.CI !== undefined;
	const isUpdate = process.env.UPDATE_SNAPSHOTS !== undefined;
	const state = new SnapshotState(path, {
		expand: true,
		rootDir: process.cwd(),
		prettierPath: null,
		snapshotFormat: {escapeString: false, printBasicPrototype: false},
		updateSnapshot: isCi ? 'none' : (isUpdate ? 'all' : 'new'),
	});
	after(() => {
		state.save();
	});
	return (name, value) => {
		const {pass, actual, expected} = state.match({testName: name, received: value, isInline: false});
		if (!pass) {
			assert.equal(actual, expected ?? '(no snapshot is stored)');
		}
	};
}
