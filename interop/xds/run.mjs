// A gRPC client with xDS that is not ours: finds its endpoints through the control service, calls stand-in servers,
// and follows a drain and a cold ramp. Prints one last line `interop-xds: ...`; exit 1 where it can't follow.
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

const build = resolve(process.argv[2] ?? '../../build');
const dir = mkdtempSync(join(tmpdir(), 'tealcart-interop-'));
const started = [];
const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
const freePort = () =>
  new Promise((done) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => done(port));
    });
  });

const discoveryPort = await freePort();
const controlPort = await freePort();
const bootstrap = join(dir, 'bootstrap.json');
writeFileSync(
  bootstrap,
  JSON.stringify({
    xds_servers: [
      { server_uri: `127.0.0.1:${controlPort}`, channel_creds: [{ type: 'insecure' }], server_features: ['xds_v3'] },
    ],
    node: { id: 'interop-client', locality: { zone: 'z0' } },
  }),
);
process.env.GRPC_XDS_BOOTSTRAP = bootstrap;
const grpc = await import('@grpc/grpc-js');
const xds = await import('@grpc/grpc-js-xds');
xds.register();

// Four servers that answer with their own name; the second place's are in a zone of their own.
const bytes = (value) => Buffer.from(value);
const service = {
  Ask: {
    path: '/tealcart.Echo/Ask',
    requestStream: false,
    responseStream: false,
    requestSerialize: bytes,
    requestDeserialize: String,
    responseSerialize: bytes,
    responseDeserialize: String,
  },
};
const nodes = [];
for (let n = 0; n < 4; ++n) {
  const server = new grpc.Server();
  server.addService(service, { Ask: (call, done) => done(null, `n${n}`) });
  const port = await new Promise((done, fail) =>
    server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, p) => (error ? fail(error) : done(p))),
  );
  nodes.push({ name: `n${n}`, port, zone: `z${n}`, lifecycle: 'up', starts: 0, server });
}

const script = join(dir, 'fleet.hcl');
const tell = () =>
  writeFileSync(
    script,
    `fleet {\n  shards = 4\n  places = 1\n  width = 1\n  discovery_port = ${discoveryPort}\n}\n` +
      nodes
        .map((n) => `node "${n.name}" {\n  port = ${n.port}\n  zone = "${n.zone}"\n  lifecycle = "${n.lifecycle}"\n  starts = ${n.starts}\n}\n`)
        .join(''),
  );
tell();
writeFileSync(join(dir, 'control.hcl'), `control {\n  listen = "127.0.0.1:${controlPort}"\n  node_limit = 100\n}\n`);
writeFileSync(
  join(dir, 'config.json'),
  JSON.stringify({
    name: 'interop',
    listen: '127.0.0.1:1',
    discovery: `127.0.0.1:${discoveryPort}`,
    seed: '00ff',
    limits: { sockets: 256 },
    settings: {
      step: 5,
      extra: { places: 1, ranges: 4, width: 1 },
      limits: { send_cap: 3, connect_timeout: 250, idle_close: 30000, streams_per_conn: 100, most_held: 400 },
      safety: { drain_grace: 500, cold_from: 0.2, cold: 4000, tip_multiple: 3, fall: 500 },
      services: [{ name: 'part', promise: 500, deadline: 2000, semantics: 'repeatable' }],
    },
  }),
);
const run = (program, ...words) => {
  const child = spawn(join(build, program), words, { stdio: ['ignore', 'ignore', 'inherit'] });
  started.push(child);
};
run('tealcart-fake-fleet', 'discovery', script);
run('tealcart-control', '--config', join(dir, 'config.json'), '--file', join(dir, 'control.hcl'));

const Client = grpc.makeGenericClientConstructor(service, 'Echo');
let client;
const ask = () =>
  new Promise((done) => client.Ask('x', { deadline: Date.now() + 1000 }, (error, answer) => done(error ? `failed: ${error.details}` : answer)));
const count = async (calls) => {
  const by = {};
  for (let i = 0; i < calls; ++i) {
    const who = await ask();
    by[who] = (by[who] ?? 0) + 1;
  }
  return by;
};
let failed = [];
const check = (holds, what) => holds || failed.push(what);
try {
  await sleep(500);
  client = new Client('xds:///part', grpc.credentials.createInsecure());
  for (let i = 0; i < 50 && (await ask()).startsWith('failed'); ++i) await sleep(100);
  const even = await count(400);
  check(Object.keys(even).length === 4, `all nodes are called: ${JSON.stringify(even)}`);

  nodes[1].lifecycle = 'draining';
  tell();
  const told = Date.now();
  let lastSeen = told;
  while (Date.now() < told + 2000) if ((await ask()) === 'n1') lastSeen = Date.now();
  const drainMs = lastSeen - told;
  check(drainMs < 1000, `a drain is followed within 1 s: ${drainMs} ms`);

  nodes[1].lifecycle = 'up';
  nodes[1].starts = Date.now();
  tell();
  await sleep(500);
  const coldAt = Date.now();
  const cold = await count(600);
  const coldShare = (cold.n1 ?? 0) / 600;
  const warmth = 0.2 + (0.8 * (Date.now() - nodes[1].starts)) / 4000;
  check(coldShare > 0 && coldShare <= (warmth / (3 + warmth)) * 1.5, `a cold node gets little: ${coldShare}, warmth ${warmth}`);
  await sleep(Math.max(0, nodes[1].starts + 5500 - Date.now()));
  const warm = await count(600);
  const warmShare = (warm.n1 ?? 0) / 600;
  check(warmShare > 0.15, `a warm node gets its part: ${warmShare}`);
  for (const what of failed) console.log(`missed: ${what}`);
  console.log(
    `interop-xds: nodes=${Object.keys(even).length} drain_ms=${drainMs} cold_share=${coldShare.toFixed(3)} ` +
      `cold_for_ms=${Date.now() - coldAt} warm_share=${warmShare.toFixed(3)} failed=${Object.keys(warm).filter((w) => w.startsWith('failed')).length}`,
  );
} finally {
  for (const child of started) child.kill('SIGTERM');
  for (const n of nodes) n.server.forceShutdown();
  rmSync(dir, { recursive: true, force: true });
}
process.exit(failed.length > 0 ? 1 : 0);
