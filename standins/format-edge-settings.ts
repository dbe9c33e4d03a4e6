/** Generates the settings file of an edge daemon. */

/** Identity and addresses of one entry. */
type EdgeLocation = {
	readonly instance: string;
	readonly zone: string;
	readonly address: string;
	readonly storeAddress: string;
	readonly seeds: readonly string[];
};

const ports = {front: 8161, ready: 8167, control: 8166};

/** Returns the text of the file and the entry's listen addresses. */
export function formatEdgeSettings({instance, zone, address, storeAddress, seeds}: EdgeLocation) {
	const front = `${address}:${ports.front}`;
	const ready = `${address}:${ports.ready}`;
	const control = `${address}:${ports.control}`;
	const fields: Readonly<Record<string, string | number>> = {
		node: instance,
		ip: address,
		zone,
		'listen.front': front,
		'listen.ready': ready,
		'listen.control': control,
		port_range: '7720,7735',
		seeds: seeds.join(','),
		'limits.memory_mb': 350,
		'platform.addr': storeAddress,
		'platform.parts': 24,
		'platform.min_ttl_ms': 1000,
		'bounds.hold_max_ms': 1000,
		'bounds.apply_ms': 2000,
		'bounds.grace_s': 6,
		'bounds.drain_ms': 2000,
		'bounds.resend_ms': 1300,
	};
	const text = Object.entries(fields).map(([name, value]) => `${name}=${value}\n`).join('');
	return {
		text, front, ready, control,
	};
}
