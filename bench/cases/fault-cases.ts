/** Cases in which entries, connections or zones fail. */
import {setTimeout as wait} from 'node:timers/promises';
import type {Fleet} from '../../fleet/fleet.js';
import {BenchCase} from '../bench-case.js';
import {benchCases} from '../bench-cases.js';

const copiesOfCarefulCaller = 6;

class EntryDeath extends BenchCase {
	override readonly name = 'entry-death';
	override readonly meaning = 'one entry is killed in the middle, and replaced two seconds later';
	override readonly load = 0.7;
	override readonly copies = copiesOfCarefulCaller;

	override async disturb(fleet: Fleet, seconds: number): Promise<void> {
		await wait(seconds * 300);
		const [victim] = fleet.entries;
		await fleet.stopEntry(victim!, 'SIGKILL');
		await wait(2000);
		await fleet.deregister(victim!.instance);
		await fleet.startEntry(victim!.zone);
	}
}

class EntryPause extends BenchCase {
	override readonly name = 'entry-pause';
	override readonly meaning = 'one entry is stopped for four seconds';
	override readonly load = 0.7;
	override readonly copies = copiesOfCarefulCaller;

	override async disturb(fleet: Fleet, seconds: number): Promise<void> {
		await wait(seconds * 300);
		const [victim] = fleet.entries;
		victim!.program.pause();
		await wait(4000);
		victim!.program.resume();
	}
}

class RollingReplacement extends BenchCase {
	override readonly name = 'rolling-replacement';
	override readonly meaning = 'all entries are replaced one after the other, gracefully';
	override readonly load = 0.7;
	override readonly copies = copiesOfCarefulCaller;

	override async disturb(fleet: Fleet): Promise<void> {
		for (const entry of fleet.entries) {
			await fleet.startEntry(entry.zone);
			await fleet.waitUntilReady();
			await fleet.register(entry, 'leaving');
			const code = await fleet.stopEntry(entry, 'SIGTERM');
			await fleet.deregister(entry.instance);
			if (code !== 0) {
				throw new Error(`${entry.instance} ended with ${code}`);
			}
		}
	}
}

class ZoneCut extends BenchCase {
	override readonly name = 'zone-cut';
	override readonly meaning = 'zone-1 is cut off from the other zones and from the platform for a third of the time';
	override readonly load = 0.7;
	override readonly copies = copiesOfCarefulCaller;

	override async disturb(fleet: Fleet, seconds: number): Promise<void> {
		await wait(seconds * 300);
		fleet.partitionZones(new Set(['zone-1']));
		await wait(seconds * 330);
		fleet.partitionZones(new Set());
	}
}

class ResubmitStorm extends BenchCase {
	override readonly name = 'resubmit-storm';
	override readonly meaning = 'each job is sent through three entries at once';
	override readonly load = 0.7;
	override readonly simultaneousCopies = 2;
}

class SilentConnections extends BenchCase {
	override readonly name = 'silent-connections';
	override readonly meaning = 'all open connections between entries are lost track of, three times; new ones work';
	override readonly load = 0.7;
	override readonly copies = copiesOfCarefulCaller;

	override async disturb(fleet: Fleet, seconds: number): Promise<void> {
		for (let round = 0; round < 3; round++) {
			await wait(seconds * 200);
			for (const entry of fleet.entries) {
				entry.relay.blackholeOpenConnections();
			}
		}
	}
}

benchCases.register(new EntryDeath(), new EntryPause(), new RollingReplacement(), new ZoneCut(), new ResubmitStorm(), new SilentConnections());
