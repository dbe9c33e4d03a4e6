/** Schema of the entry daemon's settings. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';

const maximumPort = 65_535;
const port = z.int().min(0).max(maximumPort);
const url = z.url({protocol: /^https?$/v});
const name = z.string().regex(/^[\w.\-]{1,64}$/v);

/** Schema of the settings file, described in docs/operations/settings.md; unknown keys are errors. */
export const entrySettingsSchema = z.strictObject({
	entry: z.strictObject({
		instance: name.transform(text => text as InstanceId),
		zone: name.transform(text => text as AvailabilityZone),
		/** All zones of the installation; must be the same list in the same order on every entry. */
		zones: z.array(name.transform(text => text as AvailabilityZone)).min(1).max(64),
		address: z.ipv4(),
		httpPort: port.default(0),
		peerPort: port.default(0),
		/** `IP:port` at which peers reach this entry, if different from its own address and port. */
		advertisedPeerAddress: z.string().regex(/^[\d.]+:\d+$/v).optional(),
		drainMilliseconds: z.int().min(100).max(600_000).default(15_000),
	}),
	platform: z.strictObject({
		logUrl: url,
		instanceListUrl: url,
		statsdHost: z.string().optional(),
		statsdPort: port.default(8125),
	}),
	peers: z.strictObject({
		/** Shared secret of all entries of an installation. */
		key: z.string().min(16).max(256),
		/** PEM files; if set, peer connections use TLS with mutual authentication. */
		certificateFile: z.string().optional(),
		privateKeyFile: z.string().optional(),
		authorityFile: z.string().optional(),
	}).refine(({certificateFile, privateKeyFile, authorityFile}) => [certificateFile, privateKeyFile, authorityFile].filter(file => file !== undefined).length % 3 === 0, {
		error: 'certificateFile, privateKeyFile and authorityFile come together or not at all',
	}),
	limits: z.strictObject({
		bodyBytes: z.int().min(1024).max(67_108_864).default(1_048_576),
		answerBytes: z.int().min(1024).max(67_108_864).default(4_194_304),
		maximumDeadlineMilliseconds: z.int().min(1000).max(600_000).default(60_000),
	}).prefault({}),
	registry: z.strictObject({
		enabled: z.boolean().default(true),
		retentionMilliseconds: z.int().min(1000).max(3_600_000).default(300_000),
		memoryMegabytes: z.int().min(1).max(1024).default(64),
	}).prefault({}),
	placement: z.strictObject({
		policy: z.string().default('late-binding'),
		/** How long a new arbiter withholds the slots of targets with unknown usage; equals the longest task limit. */
		quarantineMilliseconds: z.int().min(0).max(600_000).default(12_000),
	}).prefault({}),
}).refine(settings => settings.entry.zones.includes(settings.entry.zone), {
	path: ['entry', 'zone'],
	error: 'must be one of entry.zones',
});
