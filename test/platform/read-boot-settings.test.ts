/** Parser of the machine's settings file. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readBootSettings} from '../../platform/read-boot-settings.js';
import {createSnapshotMatcher} from '../support/create-snapshot-matcher.js';

const matches = createSnapshotMatcher(import.meta.url);

const text = `node=edge-a-1
role=entry
ip=10.1.0.13
zone=a
listen.front=10.1.0.13:8161
listen.ready=10.1.0.13:8167
listen.control=10.1.0.13:8166
port_range=7720,7735
seeds=10.1.0.13:8166,10.2.0.30:8166
limits.memory_mb=350
bounds.apply_ms=2000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.far_x=2
bounds.hold_max_ms=1000
platform.addr=10.200.1.7:8169
platform.parts=24
platform.min_ttl_ms=1000
a.field.of.later=1
`;

test('known fields are mapped, unknown fields are ignored', () => {
	matches('settings', readBootSettings(text));
});

test('missing and invalid fields are named in the error', () => {
	assert.throws(() => readBootSettings(text.replace('zone=a\n', '').replace('parts=24', 'parts=many')), /platform\.parts: .*; zone: |zone: .*; platform\.parts: /v);
});

test('the peer address defaults to the first port of the range', () => {
	assert.equal(readBootSettings(text.replace(/listen\.control=.*\n/v, '')).peers, '10.1.0.13:7720');
});
